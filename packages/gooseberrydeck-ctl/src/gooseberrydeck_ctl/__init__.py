"""The gooseberryctl command for operators."""
