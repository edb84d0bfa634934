"""Accept, spread and put in force the configuration records."""
