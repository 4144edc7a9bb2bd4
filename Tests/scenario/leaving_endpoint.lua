-- A leaving endpoint gets no new work after a few seconds.
seeds = 2

start { daemons = 2, service_us = 2000 }
local vms = { "vm-1", "vm-2" }
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
