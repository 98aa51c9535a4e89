"""Offer fakes and builders to tests of daisystack and of its adapters."""
