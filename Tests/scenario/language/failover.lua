-- Ways to lose the primary e1 and to have it back, and further failures beside
-- that, for stories of a failover.

local one_way = { "daemons -> e1", "e1 -> daemons" }

lost_primary = {
    { name = "is killed",
        lose = function() kill("e1") end,
        mend = function() start("e1") end },
    { name = "is cut off",
        lose = function() cut "daemons <-> e1" end,
        mend = function() heal("e1") end },
    { name = "can't be reached",
        lose = function() cut(one_way[1]) end,
        mend = function() heal("e1") end },
    { name = "can't answer",
        lose = function() cut(one_way[2]) end,
        mend = function() heal("e1") end },
    { name = "is frozen",
        lose = function() freeze("e1") end,
        mend = function() thaw("e1") end },
    -- Writes that it took were answered to nobody, and its replicas have them.
    { name = "loses its connections and is killed",
        lose = function()
            cut(one_way[2])
            process.pause(40 + draw(40))
            drop("e1")
            heal("e1")
            process.pause(400) -- A replica connects again and catches up.
            kill("e1")
        end,
        mend = function() start("e1") end },
    -- It stays alive, with writes under way, when it is replaced.
    { name = "leaves",
        lose = function()
            edit_group(function(name, node) node.leaving = name == "e1" end)
        end,
        mend = function() edit_group(function() end) end },
}

-- Two seeds in a row tell every way once.
function lost_primary_by_seed()
    local ways = {}
    for i = 1 + scenario.current_seed % 2, #lost_primary, 2 do
        ways[#ways + 1] = lost_primary[i]
    end
    return ways
end

platform_troubles = {
    { name = "the platform is down or silent",
        lose = function() platform(pick { "down", "silent" }) end,
        mend = function() platform "up" end },
    { name = "the platform loses answers or is slow",
        lose = function() platform(pick { "lose_answers", "slow" }, 1500) end,
        mend = function() platform "up" end },
}

daemon_troubles = {
    { name = "a daemon is killed",
        lose = function() kill("vm-3") end,
        mend = function() start("vm-3") end },
    { name = "a daemon is frozen",
        lose = function() freeze("vm-3") end,
        mend = function() thaw("vm-3") end },
}

-- Writes until one is acknowledged, within the target.
function await_writes(vms, session, row)
    local began, tries = process.now_ms(), 0
    eventually(function()
        tries = tries + 1
        local id = row .. "-" .. tries
        local what = insert(id, "bear", id)
        what.time_limit_ms = 500
        return send(pick(vms), { key = session.key }, what, 1500).status == 200
    end, limits.failover, "no daemon takes writes again")
    return process.now_ms() - began
end

local function tell_one(how, other, first, second, clerk)
    local vms = { "vm-1", "vm-2" } -- What is lost beside it may be vm-3.
    process.begin_writes { daemons = { "vm-1", "vm-2", "vm-3" },
        key = clerk.key, table = "bears", period_ms = 10, limit_ms = 2500,
        request_ids = pick { true, false } }
    process.pause(200 + draw(50))
    first.lose()
    process.pause(draw(200))
    second.lose()
    for _, vm in ipairs(vms) do
        await_promotion(vm, 1)
    end
    await_writes(vms, clerk, "after")
    other.mend()
    how.mend()
    await_following("vm-1", "e1")
    local counts = check_record("vm-2", clerk, "bears",
        process.finish_writes("bears"))
    expect(counts.acknowledged > 0, "none was acknowledged")
end

-- A section for every way to lose the primary, each with one failure beside
-- it; as many seeds as there are of those tell every pair. In a fleet of three
-- daemons.
function tell_primary_lost_beside(others, clerk)
    for i, how in ipairs(lost_primary) do
        local other = others[(scenario.current_seed + i) % #others + 1]
        -- Without the platform nobody learns that an endpoint is to leave.
        local told = how.name ~= "leaves" or other.name:match("daemon")
        local first, second = how, other
        if told and draw(2) == 1 then
            first, second = other, how
        end
        section("the primary " .. how.name .. ", and " .. other.name,
            function() tell_one(how, other, first, second, clerk) end)
    end
end
