-- A leaving endpoint gets no new work after a few seconds.
seeds = 2

-- Three, so that a majority knows of an edit while one of them is away.
start { daemons = 3, service_us = 2000 }
local vms = { "vm-1", "vm-2", "vm-3" }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })
local leaving = pick { "e2", "e3" }
local marks = 0

local function send_marked(n)
    local sent, list = {}, {}
    for i = 1, n do
        marks = marks + 1
        sent[i] = "mark-" .. marks .. "-end"
        list[i] = marked_read(sent[i])
    end
    for _, said in ipairs(send_together(pick(vms), { key = clerk.key },
        list)) do
        expect_equal(said.status, 200, said.text)
    end
    return sent
end

local function reached(name, sent)
    for _, mark in ipairs(sent) do
        if process.seen(name, mark) then
            return true
        end
    end
    return false
end

local function set_leaving(is_leaving)
    edit_group(function(name, node)
        node.leaving = is_leaving and name == leaving
    end)
end

local function expect_no_new_work()
    process.pause(limits.leaving)
    for _ = 1, 4 do
        expect(not reached(leaving, send_marked(30)),
            "work reached " .. leaving)
    end
end

eventually(function() return reached(leaving, send_marked(20)) end, nil,
    "the endpoint serves reads before")

section("it leaves under load, and no read fails", function()
    set_leaving(true)
    for _ = 1, 20 do
        send_marked(20)
    end
    expect_no_new_work()

    section("and comes back", function()
        set_leaving(false)
        eventually(function() return reached(leaving, send_marked(20)) end)
    end)
end)

section("a daemon can't reach the platform meanwhile", function()
    cut(pick { "vm-1 <-> platform", "platform -> vm-1" })
    set_leaving(true)
    expect_no_new_work()
end)

section("the platform goes down right after", function()
    set_leaving(true)
    platform(pick { "down", "silent" })
    expect_no_new_work()
end)

section("a daemon is killed meanwhile and comes back", function()
    kill("vm-1")
    set_leaving(true)
    start("vm-1")
    eventually(function()
        return send("vm-1", { key = clerk.key }, "select 1").status == 200
    end)
    expect_no_new_work()
end)

section("a daemon is frozen while it happens", function()
    freeze "vm-1"
    set_leaving(true)
    process.pause(limits.leaving)
    thaw "vm-1"
    -- Until it knows that its settings are current it refuses.
    local served = 0
    eventually(function()
        marks = marks + 1
        local mark = "mark-" .. marks .. "-end"
        local said = send("vm-1", { key = clerk.key }, marked_read(mark))
        expect(said.status == 200 or said.error == "configuration_stale",
            describe(said))
        expect(not process.seen(leaving, mark), "work reached " .. leaving)
        served = served + (said.status == 200 and 1 or 0)
        return served >= 30
    end)
end)

section("the platform is slow, or loses the answer", function()
    platform(pick { "slow", "lose_answers" }, 200)
    local node = { kind = "service", endpoints = process.group_endpoints() }
    for _, endpoint in ipairs(node.endpoints) do
        endpoint.leaving = endpoint.name == leaving
    end
    process.ctl("put", "group", json_text(node))
    platform "up"
    expect_no_new_work()
end)

section("operators race each other's edits", function()
    local words = {}
    for i = 1, 6 do
        local node = { kind = "service", endpoints = process.group_endpoints() }
        for _, endpoint in ipairs(node.endpoints) do
            endpoint.leaving = endpoint.name == leaving
        end
        words[i] = { "put", "group", json_text(node) }
    end
    race_edits(words)
    expect_no_new_work()
end)
