# A night in a lobby chat: sockets drop, an agent is killed, a matchmaker drains and another dies.
# `otterquay lab chat` plays it with as many clients as it is told.
service  = "chat-agent.hcl"
duration = "10s"

fleet {
  machines = 8
  cores    = 4
  list_lag = "300ms"
}

agents {
  zones   = ["north", "north", "south"]
  weights = [1, 1, 1]
}

traffic {
  rate = 1
  class "lobby-read" {
    share      = "100%"
    work_least = "10ms"
    work_most  = "10ms"
  }
}

build "2" {
  at       = "1s"
  flaw     = "class"
  of_class = "race-entry"
  share    = "50%"
}

fault {
  kind  = "kill_agent"
  at    = "3s"
  lasts = "500ms"
  agent = 0
}

fault {
  kind  = "drain"
  at    = "4500ms"
  count = 2
}

fault {
  kind  = "kill_servers"
  at    = "6s"
  lasts = "1s"
  count = 2
}

fault {
  kind  = "silent_servers"
  at    = "7s"
  lasts = "1s"
  count = 1
}

fault {
  kind  = "stop_agent"
  at    = "8s"
  lasts = "300ms"
  agent = 1
}
