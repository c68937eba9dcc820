from laurelcourse.cli import main

main(prog_name="laurelcourse")
