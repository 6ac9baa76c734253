"""The inner protocol between the processes of wasabideck."""
