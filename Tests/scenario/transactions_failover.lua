-- Transactions meet a change of primary: each is kept whole or not at all, one
-- that was acknowledged is kept, one that was refused as not run is not, and
-- none sees or takes another's statements.
seeds = 2

start { daemons = 2, slots = 4, connections = 16, lag_ms = pick { 0, 100 } }
local vms = { "vm-1", "vm-2" }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })
local most_rows = 4

local function row_of(t, i) return t.id .. "-" .. i end

local function begin_at(vm)
    local begun = begin(vm, clerk)
    expect_equal(begun.status, 200, begun.text)
    return { id = begun.body.transaction, vm = vm, rows = 0 }
end

-- One more row, and what the transaction sees is its own.
local function add_row(t)
    local what = insert(row_of(t, t.rows + 1), "of " .. t.id)
    what.transaction, what.time_limit_ms = t.id, 1000
    local said = send(t.vm, clerk, what)
    if said.status ~= 200 then
        return said
    end
    t.rows = t.rows + 1
    local asked = lookup(row_of(t, t.rows))
    asked.transaction, asked.time_limit_ms = t.id, 1000
    local found = send(t.vm, clerk, asked)
    if found.status == 200 then
        expect_equal(found.rows, { { "of " .. t.id } }, "in " .. t.id)
    end
    return found
end

local function end_by(t, verb)
    t.verb = verb
    t.said = finish(t.vm, clerk, t.id, verb)
end

local function open_with_rows(vm)
    local t = begin_at(vm)
    for _ = 1, draw(most_rows) do
        expect_equal(add_row(t).status, 200)
    end
    return t
end

local function check_whole(t)
    local kept = 0
    for i = 1, most_rows + 1 do
        local found
        eventually(function()
            found = send(pick(vms), { key = clerk.key }, lookup(row_of(t, i)),
                3000)
            return found.status == 200
        end, nil, "the rows can't be read")
        expect(#found.rows <= 1, row_of(t, i) .. " is doubled")
        if #found.rows == 1 then
            expect_equal(found.rows, { { "of " .. t.id } })
            kept = kept + 1
        end
    end
    local what = t.id .. " with " .. t.rows .. " rows, " .. t.verb .. " said "
        .. t.said.text .. ", kept " .. kept
    -- A statement without an answer may be in a commit that was not denied.
    expect(kept == 0 or kept >= t.rows, "half of " .. what)
    if t.verb == "rollback" or t.said.outcome == "not_run" then
        expect_equal(kept, 0, what)
    elseif t.said.status == 200 then
        expect(kept >= t.rows, what)
    end
end

for _, how in ipairs(lost_primary_by_seed()) do
    section("the primary " .. how.name, function()
        process.begin_writes { daemons = vms, key = clerk.key,
            table = "cubs", period_ms = 20, limit_ms = 2500 }
        local list = {}
        for i = 1, 6 do
            list[i] = open_with_rows(vms[i % 2 + 1])
        end
        how.lose()
        end_by(list[1], "commit")
        end_by(list[2], "rollback")
        add_row(list[3])
        end_by(list[3], "commit")
        for _, vm in ipairs(vms) do
            await_promotion(vm, 1)
        end
        local next_ones = {}
        eventually(function()
            local begun = begin("vm-1", clerk)
            if begun.status ~= 200 then
                return false
            end
            next_ones[1] = { id = begun.body.transaction, vm = "vm-1",
                rows = 0 }
            return true
        end, limits.failover, "no transaction begins")
        expect_equal(add_row(next_ones[1]).status, 200)

        -- What began in the old term ends with it.
        end_by(list[4], "commit")
        expect(list[4].said.status ~= 200, "it began in a term that is over")
        add_row(list[5])
        end_by(list[5], "commit")
        expect(list[5].said.status ~= 200, "it began in a term that is over")

        how.mend()
        end_by(list[6], "commit")
        expect(list[6].said.status ~= 200, "it began in a term that is over")
        await_following("vm-1", "e1")
        next_ones[2] = open_with_rows("vm-2")
        expect_equal(add_row(next_ones[1]).status, 200)
        for _, t in ipairs(next_ones) do
            end_by(t, "commit")
            expect_equal(t.said.status, 200, t.said.text)
            list[#list + 1] = t
        end
        for _, t in ipairs(list) do
            check_whole(t)
        end
        check_record("vm-2", clerk, "cubs", process.finish_writes("cubs"))
    end)
end

section("their daemon sleeps through the change of primary", function()
    local list = {}
    for i = 1, 3 do
        list[i] = open_with_rows("vm-1")
    end
    freeze("vm-1")
    local how = pick(lost_primary)
    how.lose()
    await_promotion("vm-2", 1)
    thaw("vm-1")
    for _, t in ipairs(list) do
        end_by(t, pick { "commit", "rollback" })
        expect(t.verb == "rollback" or t.said.status ~= 200,
            "it began in a term that is over")
    end
    how.mend()
    await_following("vm-1", "e1")
    for _, t in ipairs(list) do
        check_whole(t)
    end
end)
