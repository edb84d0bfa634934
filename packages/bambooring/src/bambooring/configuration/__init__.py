"""Accept, distribute and put in force the configuration records."""
