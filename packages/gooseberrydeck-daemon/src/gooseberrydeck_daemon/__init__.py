"""The gooseberryd daemon, which runs on every entry host."""
