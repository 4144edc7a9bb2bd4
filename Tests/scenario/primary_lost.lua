-- The primary is lost while writes are under way, in every way that it can be:
-- writes go on within the target, none that was acknowledged is lost or
-- doubled, none that was refused as not run has run, and what comes back
-- follows.
seeds = 2

start { daemons = 3, lag_ms = pick { 0, 20, 150 } }
local vms = { "vm-1", "vm-2", "vm-3" }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })

-- Some are repeated by request id; the others may not be repeated.
local function begin_writes()
    process.begin_writes { daemons = vms, key = clerk.key, table = "bears",
        period_ms = 10, limit_ms = 2500 }
    process.begin_writes { daemons = vms, key = clerk.key, table = "cubs",
        period_ms = 14, limit_ms = 2500, request_ids = false }
    process.pause(200 + draw(50))
end

local function check_writes()
    for _, name in ipairs { "bears", "cubs" } do
        local counts = check_record("vm-2", clerk, name,
            process.finish_writes(name))
        expect(counts.acknowledged > 0, "none was acknowledged")
    end
end

for _, how in ipairs(lost_primary_by_seed()) do
    section("the primary " .. how.name, function()
        begin_writes()
        how.lose()
        for _, vm in ipairs(vms) do
            await_promotion(vm, 1)
        end
        await_writes(vms, clerk, "after")
        process.pause(draw(300))
        how.mend()
        await_following("vm-1", "e1")
        check_writes()
    end)
end
