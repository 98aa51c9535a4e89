"""Run the programs of the platform against a stand-in for the platform."""
