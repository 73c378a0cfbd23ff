"""Write paths: bookings."""
