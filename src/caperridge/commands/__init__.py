"""Commands: functions that change durable state."""
