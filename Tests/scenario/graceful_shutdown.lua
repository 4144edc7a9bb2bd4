-- A graceful shutdown cuts no request.
seeds = 2

start { daemons = 2, service_us = 5000 }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })

local function expect_clean_end(vm)
    expect_equal(process.wait_end(vm), 0, "exit code of " .. vm)
end

section("requests are under way", function()
    process.begin_writes { daemons = { "vm-1" }, key = clerk.key,
        table = "bears", period_ms = 3, limit_ms = 20000,
        request_ids = false, read_back = false }
    process.pause(pick { 100, 150, 230 })

    local function expect_none_cut()
        terminate("vm-1")
        expect_clean_end("vm-1")
        platform("up")
        local counts = check_record("vm-2", clerk, "bears",
            process.finish_writes("bears"))
        expect_equal(counts.unknown, 0, "requests that were cut")
        expect(counts.acknowledged > 0, "none was acknowledged")
    end

    section("in ordinary times", expect_none_cut)

    section("while the platform is down", function()
        platform(pick { "down", "silent" })
        expect_none_cut()
    end)

    section("while a replica is cut off", function()
        cut "daemons <-> e2"
        expect_none_cut()
    end)
end)

section("a transaction is under way", function()
    local begun = begin("vm-1", clerk)
    local id = begun.body.transaction
    local row = insert("row", "bear")
    row.transaction = id
    expect_equal(send("vm-1", clerk, row).status, 200)
    terminate("vm-1")
    process.pause(300)

    section("it goes on to its commit", function()
        local more = insert("more", "bear")
        more.transaction = id
        expect_equal(send("vm-1", clerk, more).status, 200)
        expect_equal(finish("vm-1", clerk, id, "commit").status, 200)
        expect_clean_end("vm-1")
        expect_equal(send("vm-2", clerk, lookup("more")).rows, { { "bear" } })
    end)

    section("or to its rollback", function()
        expect_equal(finish("vm-1", clerk, id, "rollback").status, 200)
        expect_clean_end("vm-1")
        expect_equal(send("vm-2", { key = clerk.key }, lookup("row")).rows, {})
    end)

    -- Readiness goes first and the balancer is given time, so new work is
    -- still served for a while.
    section("before its end nothing new is taken", function()
        eventually(function()
            local said = send("vm-1", { key = clerk.key }, "select 1")
            expect(said.status == 200 or said.outcome == "not_run"
                or said.failure == "not_sent", describe(said))
            return said.status ~= 200
        end)
        expect_equal(process.admin("vm-1", "/ready").status, 503)
        expect_equal(finish("vm-1", clerk, id, "commit").status, 200)
        expect_clean_end("vm-1")
    end)
end)
