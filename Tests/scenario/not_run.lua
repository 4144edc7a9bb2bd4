-- A refusal that says "not run" is true.
seeds = 2

start { daemons = 2, slots = 2, service_us = 2000 }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })

local function count(row)
    return count_rows(function() return "vm-2" end, clerk, row)
end

-- Sends n writes with a time limit and checks each refusal once all is well
-- again and `afterwards`, if given, has run. Returns the number of refusals by
-- outcome.
local function check_refusals(n, limit_ms, afterwards)
    local list = {}
    for i = 1, n do
        list[i] = insert("row-" .. i, "bear")
        list[i].time_limit_ms = limit_ms
    end
    local replies = send_together("vm-1", clerk, list)
    heal()
    thaw("e1")
    if afterwards then
        afterwards()
    end
    local outcomes = { not_run = 0, outcome_unknown = 0 }
    for i, said in ipairs(replies) do
        if said.status ~= 200 then
            expect(outcomes[said.outcome], "an untyped refusal: " .. said.text)
            outcomes[said.outcome] = outcomes[said.outcome] + 1
        end
        if said.outcome == "not_run" then
            expect_equal(count("row-" .. i), 0, "row-" .. i .. " ran")
        end
    end
    return outcomes
end

section("under overload, what waited too long did not run", function()
    local outcomes = check_refusals(200, 40)
    expect(outcomes.not_run > 0, "nothing was refused")
end)

section("behind a cut", function()
    cut(pick { "daemons -> e1", "e1 -> daemons", "daemons <-> e1" })
    local outcomes = check_refusals(40, 400)
    expect(outcomes.not_run > 0, "nothing waited for a slot")
    expect(outcomes.outcome_unknown > 0, "nothing was under way")
end)

section("behind a cut, and the primary is lost right after", function()
    cut(pick { "daemons -> e1", "e1 -> daemons" })
    local outcomes = check_refusals(40, 400, function()
        process.pause(400) -- What is in doubt reaches the replicas.
        kill("e1")
        for _, vm in ipairs { "vm-1", "vm-2" } do
            await_promotion(vm, 1)
        end
    end)
    expect(outcomes.not_run > 0, "nothing waited for a slot")
    expect(outcomes.outcome_unknown > 0, "nothing was under way")
end)

section("at a frozen endpoint", function()
    freeze("e1")
    local outcomes = check_refusals(40, 400)
    expect(outcomes.not_run + outcomes.outcome_unknown == 40, "some ran")
end)

section("when the rate is spent", function()
    local small = open_workspace("small", { rate = 2, burst = 20 })
    local refused = 0
    for i = 1, 60 do
        local said = send("vm-1", small, insert("spent-" .. i, "bear"))
        if said.status ~= 200 then
            expect_equal(said.error, "rate_exceeded")
            expect_equal(said.outcome, "not_run")
            expect_equal(count("spent-" .. i), 0)
            refused = refused + 1
        end
    end
    expect(refused > 0, "60 writes went through a burst of 20")
end)

section("when the input is bad", function()
    local cases = {
        { "{", "malformed_request" },
        { "[]", "malformed_request" },
        { '{"statement":1}', "malformed_request" },
        { '{"statement":"select 1","surprise":1}', "malformed_request" },
        { '{"statement":"select 1","max_age_ms":-1}', "malformed_request" },
        { '{"statement":"' .. ("x"):rep(2000000) .. '"}', "body_too_large" },
        { '{"statement":"insert into bears values ($1, $2)",'
            .. '"kind":"write"}', "statement_not_allowed" },
        { '{"statement":"commit"}', "statement_not_allowed" },
        { '{"statement":"select 1; select 1"}', "statement_not_allowed" },
        { '{"statement":"select 1","transaction":"vm-1.99"}',
            "unknown_transaction" },
        { '{"statement":"select 1","transaction":"vm-9.1"}',
            "transaction_elsewhere" },
    }
    for _, case in ipairs(cases) do
        local said = send("vm-1", clerk, { path = "/v1/statement",
            text = case[1] })
        expect_equal(said.error, case[2], case[1]:sub(1, 60))
        expect_equal(said.outcome, "not_run")
    end
    expect_equal(send("vm-1", clerk, "select 1").status, 200)
end)

section("when the primary is gone for good", function()
    kill("e1")
    local said = send("vm-1", clerk, insert("gone", "bear"), 15000)
    if said.outcome == "not_run" then
        local found = send("vm-1", { key = clerk.key }, {
            statement = "select count(*) from bears where key = $1",
            parameters = { "gone" }, max_age_ms = 600000 })
        expect(found.status ~= 200 or found.rows[1][1] == "0", "it ran")
    end
    expect(said.status == 200 or said.outcome ~= "", said.text)
end)
