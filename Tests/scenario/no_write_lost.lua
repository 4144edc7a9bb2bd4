-- No acknowledged write is lost or doubled while the primary stays; the stories
-- primary_lost* tell what becomes of them when it is lost.
seeds = 2

start { daemons = 3, lag_ms = pick { 0, 20 } }
local vms = { "vm-1", "vm-2", "vm-3" }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })

-- Writes at a steady pace while `hurt` runs, and checks every one.
local function write_while(hurt)
    process.begin_writes { daemons = vms, key = clerk.key, table = "bears",
        period_ms = 8, limit_ms = 2500 }
    process.pause(200)
    hurt()
    process.pause(200)
    heal()
    platform("up")
    local record = process.finish_writes("bears")
    local counts = check_record("vm-2", clerk, "bears", record)
    expect(counts.acknowledged > 0, "none was acknowledged")
end

section("in ordinary times", function()
    write_while(function() process.pause(500) end)
end)

section("a daemon is killed and comes back", function()
    write_while(function()
        kill("vm-1")
        process.pause(200)
        start("vm-1")
        process.pause(300)
    end)
end)

section("a daemon freezes past every lease and is thawed", function()
    write_while(function()
        freeze("vm-1")
        process.pause(4000)
        thaw("vm-1")
        process.pause(200)
    end)
end)

section("a replica is cut off, one way or both", function()
    write_while(function()
        cut(pick { "daemons -> e2", "e2 -> daemons", "daemons <-> e2" })
        process.pause(800)
    end)
end)

section("a replica freezes and is thawed", function()
    write_while(function()
        freeze("e3")
        process.pause(800)
        thaw("e3")
    end)
end)

section("the primary's connections break", function()
    write_while(function()
        for _ = 1, 5 do
            drop("e1")
            process.pause(100)
        end
    end)
end)

section("the platform is down, slow, silent or loses answers", function()
    write_while(function()
        platform(pick { "down", "slow", "silent", "lose_answers" }, 300)
        process.pause(1000)
    end)
end)

section("two at once: the platform is down and a replica is cut", function()
    write_while(function()
        platform "down"
        cut "daemons <-> e2"
        process.pause(1000)
    end)
end)

section("two at once: a daemon is killed, the connections break", function()
    write_while(function()
        kill("vm-2")
        drop("e1")
        process.pause(300)
        start("vm-2")
        process.pause(300)
    end)
end)
