-- The primary is lost and a daemon is killed or frozen at the same time: writes go on
-- within the target, none that was acknowledged is lost or doubled, none that
-- was refused as not run has run, and what comes back follows.
seeds = #daemon_troubles

start { daemons = 3, lag_ms = pick { 0, 20, 150 } }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })

tell_primary_lost_beside(daemon_troubles, clerk)
