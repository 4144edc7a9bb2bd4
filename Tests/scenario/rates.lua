-- No workspace gets more than its rate and burst over all VMs together,
-- whatever becomes of daemons and the platform meanwhile.
seeds = 2

start { daemons = 3 }
local vms = { "vm-1", "vm-2", "vm-3" }
local rate, burst = 40, 20
local clerk = open_workspace("ward", { rate = rate, burst = burst })
local tables = { "bears", "cubs", "boxes" }

-- Three writers ask for several times the rate at every daemon while `happen`
-- runs; what was served, also what is unknown to have been, fits the limit.
local function expect_within_rate(happen)
    local began = process.now_ms()
    for _, name in ipairs(tables) do
        process.begin_writes { daemons = vms, key = clerk.key, table = name,
            period_ms = 6, limit_ms = 1000, request_ids = false }
    end
    process.pause(500)
    happen()
    process.pause(1000)
    local served, refused = 0, 0
    for _, name in ipairs(tables) do
        for _, one in ipairs(process.finish_writes(name)) do
            if one.fate == "not_run" then
                refused = refused + 1
            elseif one.fate == "acknowledged" then
                served = served + 1
            end
        end
    end
    local seconds = (process.now_ms() - began) / 1000
    expect(served <= burst + rate * seconds, served .. " were served in "
        .. seconds .. " s")
    expect(served > 0, "nothing was served")
    expect(refused > 0, "nothing was refused")
end

section("in ordinary times", function()
    expect_within_rate(function() process.pause(1000) end)
end)

section("a daemon is killed and replaced, again and again", function()
    expect_within_rate(function()
        for _ = 1, 4 do
            local vm = pick(vms)
            kill(vm)
            process.pause(draw(200))
            start(vm)
            process.pause(draw(600))
        end
    end)
end)

section("a daemon is frozen past its right and wakes", function()
    expect_within_rate(function()
        local vm = pick(vms)
        freeze(vm)
        process.pause(4000)
        thaw(vm)
        process.pause(1000)
    end)
end)

section("a daemon can't reach the platform", function()
    expect_within_rate(function()
        cut(pick { "vm-1 <-> platform", "vm-1 -> platform",
            "platform -> vm-1" })
        process.pause(4000)
        heal()
        process.pause(1000)
    end)
end)

section("the platform is away and a daemon is replaced", function()
    expect_within_rate(function()
        platform(pick { "down", "silent" })
        process.pause(draw(1000))
        local vm = pick(vms)
        kill(vm)
        start(vm)
        process.pause(4000)
        platform "up"
        process.pause(1000)
    end)
end)

section("the platform loses answers, one daemon sleeps, another dies",
    function()
        expect_within_rate(function()
            platform "lose_answers"
            freeze "vm-1"
            kill "vm-2"
            process.pause(draw(3000))
            thaw "vm-1"
            start "vm-2"
            process.pause(1000)
            platform "up"
            process.pause(1000)
        end)
    end)

section("operators race to edit the rate", function()
    expect_within_rate(function()
        local words = {}
        for i = 1, 6 do
            words[i] = { "put", "ward", json_text { kind = "workspace",
                service = "group", rate = rate - i, burst = burst } }
        end
        process.race(words)
        process.pause(1000)
    end)
end)
