-- A graceful shutdown while the primary is lost cuts no request: each is
-- answered, and the answer is true.
seeds = 2

start { daemons = 2, lag_ms = pick { 0, 100 }, service_us = 1000,
    daemon_flags = { "--drain-grace-ms", "300" } }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })

local function begin_writes(table_name, request_ids)
    process.begin_writes { daemons = { "vm-1" }, key = clerk.key,
        table = table_name, period_ms = 40, limit_ms = limits.settled,
        request_ids = request_ids, read_back = false }
end

local function check_writes(table_name)
    local counts = check_record("vm-2", clerk, table_name,
        process.finish_writes(table_name))
    expect_equal(counts.cut, 0, "requests that were cut")
    expect(counts.acknowledged > 0, "none was acknowledged")
end

for _, how in ipairs(lost_primary_by_seed()) do
    section("the primary " .. how.name, function()
        begin_writes("bears", true)
        begin_writes("cubs", false)
        local begun = begin("vm-1", clerk)
        expect_equal(begun.status, 200, begun.text)
        process.pause(150)
        local shutdown_first = draw(2) == 1
        if shutdown_first then
            terminate("vm-1")
            process.pause(draw(500))
        end
        how.lose()
        if not shutdown_first then
            process.pause(draw(1200))
            terminate("vm-1")
        end
        await_promotion("vm-2", 1)
        local said = finish("vm-1", clerk, begun.body.transaction, "commit")
        expect(said.failure ~= "connection_lost", "a commit was cut")
        how.mend()
        expect_equal(process.wait_end("vm-1"), 0, "exit code")
        await_following("vm-2", "e1")
        check_writes("bears")
        check_writes("cubs")
    end)
end
