"""What labs saw, held against what is allowed: pure, one file for each kind of thing that may not be."""
