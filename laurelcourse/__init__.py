"""laurelcourse shifts calls between an old and a new build, and judges the new one as it goes."""

VERSION = "0.1.0"
