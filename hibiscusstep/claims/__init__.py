"""hibiscusstep.claims: idempotency keys, stored durably on the platform."""
