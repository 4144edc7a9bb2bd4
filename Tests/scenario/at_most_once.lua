-- A request that may not be repeated runs at most once, and a request id makes
-- a caller's own repetition find the first outcome.
seeds = 2

start { daemons = 3, service_us = 1000 }
local vms = { "vm-1", "vm-2", "vm-3" }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })

local function count(row)
    return count_rows(function() return pick(vms) end, clerk, row)
end

-- Sends writes that may not be repeated until `stop` says so; returns them.
local function check_lone_writes(replies, rows)
    for i, said in ipairs(replies) do
        local n = count(rows[i])
        expect(n <= 1, rows[i] .. " ran " .. n .. " times")
        expect(said.status ~= 200 or n == 1, rows[i] .. " is lost")
        expect(said.outcome ~= "not_run" or n == 0,
            rows[i] .. " was refused as not run")
    end
end

local function many(name, n)
    local list, rows = {}, {}
    for i = 1, n do
        rows[i] = name .. i
        list[i] = insert(rows[i], "bear")
        list[i].time_limit_ms = 1500
    end
    return list, rows
end

section("the same request id runs once", function()
    section("one after the other, through every daemon", function()
        for i, vm in ipairs(vms) do
            local said = send(vm, clerk, insert("claim", "ours", "claim-1"))
            expect_equal(said.status, 200, said.text)
            expect_equal(said.body.first_outcome or false, i > 1)
        end
        expect_equal(count("claim"), 1)
    end)

    section("many at once, through every daemon", function()
        local list = {}
        for i = 1, 24 do
            list[i] = { vms[i % 3 + 1], clerk,
                insert("claim", "ours", "claim-1") }
        end
        for _, said in ipairs(send_everywhere(list)) do
            expect_equal(said.status, 200, said.text)
        end
        expect_equal(count("claim"), 1)
    end)

    section("the first answer is lost on its way", function()
        cut "e1 -> daemons"
        local first = insert("claim", "ours", "claim-1")
        first.time_limit_ms = 300
        local said = send("vm-1", clerk, first)
        expect(said.status ~= 200, "it can't have been answered")
        expect_equal(said.outcome, "outcome_unknown")
        heal()
        eventually(function()
            said = send("vm-2", clerk, insert("claim", "ours", "claim-1"))
            return said.status == 200
        end)
        expect_equal(count("claim"), 1)
    end)

    section("the daemon is killed before it answers", function()
        cut "e1 -> daemons"
        local first = insert("claim", "ours", "claim-1")
        send("vm-1", clerk, first, 200)
        kill("vm-1")
        heal()
        local said
        eventually(function()
            said = send("vm-2", clerk, insert("claim", "ours", "claim-1"))
            return said.status == 200
        end)
        expect_equal(count("claim"), 1)
    end)
end)

section("what may not be repeated isn't", function()
    section("when the connections break under it", function()
        process.begin_writes { daemons = vms, key = clerk.key,
            table = "bears", period_ms = 3, limit_ms = 2000,
            request_ids = false, read_back = false }
        for _ = 1, 8 do
            process.pause(100)
            -- What runs now is answered to nobody.
            cut "e1 -> daemons"
            process.pause(60)
            drop("e1")
            heal()
        end
        process.pause(200)
        local counts = check_record("vm-1", clerk, "bears",
            process.finish_writes("bears"))
        expect(counts.unknown > 0, "nothing was under way at a break")
        expect(counts.acknowledged > 0, "nothing was acknowledged")
    end)

    section("when the endpoint freezes and goes on", function()
        freeze("e1")
        local list, rows = many("f", 30)
        for _, what in ipairs(list) do
            what.time_limit_ms = 400
        end
        local replies = send_together("vm-2", clerk, list)
        thaw("e1")
        check_lone_writes(replies, rows)
    end)

    section("when its way there is cut", function()
        cut "daemons -> e1"
        local list, rows = many("c", 30)
        for _, what in ipairs(list) do
            what.time_limit_ms = 400
        end
        local replies = send_together("vm-2", clerk, list)
        heal()
        -- What was held at the cut may still arrive; nothing runs twice.
        process.pause(300)
        check_lone_writes(replies, rows)
    end)
end)
