-- The place that gets no new work is the primary's own: it is left within
-- seconds, another leads, and no acknowledged write is lost or doubled.
seeds = 2

start { daemons = 3, zones = 3, lag_ms = 10 }
local vms = { "vm-1", "vm-2", "vm-3" }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })
local marks = 0

-- A place that is out may refuse its callers; others serve them.
local function expect_new_work_elsewhere()
    for _ = 1, 10 do
        for _, vm in ipairs(vms) do
            marks = marks + 1
            local mark = "mark-" .. marks .. "-end"
            local said = send(vm, { key = clerk.key }, insert(mark, "bear"))
            expect(said.status == 200 or said.outcome == "not_run"
                or said.failure == "not_sent", describe(said))
            expect(not process.seen("e1", mark), "a write reached e1")
        end
    end
end

local function served_by_others()
    for _, vm in ipairs { "vm-2", "vm-3" } do
        marks = marks + 1
        local said = send(vm, { key = clerk.key },
            insert("after-" .. marks, "bear", "after-" .. marks))
        if said.status ~= 200 then
            return false
        end
    end
    return true
end

local function expect_moved(change)
    expect_equal(send("vm-2", clerk, insert("before", "bear")).status, 200)
    change()
    eventually(served_by_others, limits.failover, "nobody leads")
    process.pause(limits.leaving)
    expect_new_work_elsewhere()
    local found = send("vm-3", clerk, lookup("before"))
    expect_equal(found.status, 200, found.text)
    expect_equal(#found.rows, 1, "an acknowledged write is lost")
end

local function take_zone_out()
    edit("zone-1", { kind = "zone", out = true })
end

local function let_primary_leave()
    edit_group(function(name, node)
        node.leaving = name == "e1"
    end)
end

section("its zone is taken out", function()
    expect_moved(take_zone_out)

    section("and put back, it serves as a replica", function()
        edit("zone-1", { kind = "zone", out = false })
        eventually(function()
            marks = marks + 1
            local mark = "mark-" .. marks .. "-end"
            send("vm-2", { key = clerk.key }, marked_read(mark))
            return process.seen("e1", mark)
        end, nil, "e1 gets no reads")
    end)
end)

section("it leaves", function()
    expect_moved(let_primary_leave)
end)

section("its zone is taken out while the platform loses answers", function()
    expect_moved(function()
        platform "lose_answers"
        process.ctl("put", "zone-1", json_text { kind = "zone", out = true })
        platform "up"
    end)
end)

section("it leaves and the platform goes down", function()
    expect_moved(function()
        let_primary_leave()
        platform(pick { "down", "silent" })
    end)
end)

section("its zone is taken out while a daemon is cut off", function()
    cut(pick { "vm-3 <-> platform", "platform -> vm-3" })
    expect_moved(take_zone_out)
end)

section("it leaves while a daemon is replaced", function()
    expect_moved(function()
        kill "vm-3"
        let_primary_leave()
        start "vm-3"
    end)
end)

section("its zone is taken out and then it dies", function()
    expect_moved(function()
        take_zone_out()
        process.pause(draw(1500))
        kill "e1"
    end)
end)
