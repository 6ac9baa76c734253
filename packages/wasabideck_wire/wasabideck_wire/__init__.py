"""The inner protocol of wasabideck."""
