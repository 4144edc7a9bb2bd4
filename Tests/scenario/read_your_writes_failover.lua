-- A session sees its own work across a change of primary: with a token of the
-- term that was replaced, and with one of the new term while the old primary
-- comes back.
seeds = 2

start { daemons = 3, lag_ms = pick { 20, 150 } }
local vms = { "vm-1", "vm-2", "vm-3" }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })

-- Others write too, so that the logs differ when the primary is lost.
process.begin_writes { daemons = vms, key = clerk.key, table = "cubs",
    period_ms = 5, limit_ms = 2500 }
expect_equal(send("vm-1", clerk, insert("old", "bear")).status, 200)
local old_token = clerk.token

-- Whoever answers shows the row; returns how many did.
local function read_everywhere(row, token)
    local answered = 0
    for _, vm in ipairs(vms) do
        local what = lookup(row)
        what.time_limit_ms = 300
        local found = send(vm, { key = clerk.key, token = token }, what, 1500)
        if found.status == 200 then
            answered = answered + 1
            expect_equal(found.rows, { { "bear" } }, vm .. " for " .. row)
        end
    end
    return answered
end

local function await_answers(row, token)
    eventually(function() return read_everywhere(row, token) == #vms end,
        limits.failover, "not every daemon serves the session")
end

for _, how in ipairs(lost_primary_by_seed()) do
    section("the primary " .. how.name, function()
        how.lose()
        eventually(function()
            read_everywhere("old", old_token)
            local leader, term = primary_at("vm-1")
            return leader and term > 1
        end, limits.failover, "vm-1 knows no new primary")
        await_answers("old", old_token)
        eventually(function()
            return send(pick(vms), clerk, insert("new", "bear", "new"), 1500)
                .status == 200
        end, limits.failover, "no daemon takes writes again")
        expect(clerk.token ~= old_token, "the session did not move on")

        how.mend()
        eventually(function()
            read_everywhere("new", clerk.token)
            read_everywhere("old", old_token)
            local e, _, term = endpoint_at("vm-1", "e1"), primary_at("vm-1")
            return e.role == "replica" and e.fence == term
        end, limits.failover, "e1 doesn't follow")
        await_answers("new", clerk.token)
        await_answers("old", old_token)
        check_record("vm-2", clerk, "cubs", process.finish_writes("cubs"))
    end)
end
