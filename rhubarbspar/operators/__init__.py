"""Operator side: the questionnaire, the configuration generated from it and the commands."""
