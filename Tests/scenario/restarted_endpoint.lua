-- An endpoint that is killed and started again keeps its fence, term and log.
-- An old primary that comes back acknowledges nothing in its old term and
-- follows; a voter that comes back votes once a term.
seeds = 2

start { daemons = 2, lag_ms = pick { 10, 100 } }
local vms = { "vm-1", "vm-2" }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })

local function begin_writes()
    process.begin_writes { daemons = vms, key = clerk.key, table = "bears",
        period_ms = 8, limit_ms = 2500, request_ids = pick { true, false },
        read_back = true }
    process.pause(200)
end

local function check_writes()
    process.pause(200)
    local counts = check_record("vm-2", clerk, "bears",
        process.finish_writes("bears"))
    expect(counts.acknowledged > 0, "none was acknowledged")
end

local function await_writes(row)
    eventually(function()
        return send(pick(vms), { key = clerk.key }, insert(row, "bear", row),
            1500).status == 200
    end, limits.failover, "no daemon takes writes again")
end

begin_writes()

section("the primary is killed", function()
    kill("e1")

    section("and is back before anybody misses it", function()
        start("e1")
        await_writes("after")
        check_writes()
    end)

    section("and is back in the middle of the promotion", function()
        process.pause(900 + draw(500))
        start("e1")
        await_writes("after")
        check_writes()
        local leader = primary_at("vm-1")
        for _, name in ipairs { "e1", "e2", "e3" } do
            if name ~= leader then
                await_following("vm-1", name)
            end
        end
    end)

    section("and is back once another leads", function()
        await_promotion("vm-1", 1)
        start("e1")
        await_following("vm-1", "e1")
        await_writes("after")
        check_writes()

        section("and leads again when the next one is lost", function()
            local leader, term = primary_at("vm-1")
            kill(leader)
            await_promotion("vm-1", term)
            await_writes("again")
            start(leader)
            await_following("vm-1", leader)
        end)
    end)

    section("and the voters are killed too, and come back", function()
        process.pause(900 + draw(400))
        for _, name in ipairs { "e2", "e3" } do
            kill(name)
            start(name)
            process.pause(draw(100))
        end
        await_writes("after")
        start("e1")
        await_following("vm-1", "e1")
        check_writes()
    end)
end)

section("the primary is cut off and replaced", function()
    cut "daemons <-> e1"
    await_promotion("vm-1", 1)

    section("is killed and comes back while it is cut off", function()
        kill("e1")
        start("e1")
        heal()
        await_following("vm-1", "e1")
        check_writes()
    end)

    section("is fenced when it is healed, is killed and comes back", function()
        heal()
        await_following("vm-1", "e1")
        kill("e1")
        start("e1")
        await_following("vm-1", "e1")
        check_writes()
    end)
end)
