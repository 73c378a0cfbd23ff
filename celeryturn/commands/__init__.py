"""Write paths: bookings, and what operators order."""
