"""Constants of the admission component."""
