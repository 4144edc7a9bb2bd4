-- Every session gets read-your-writes, whichever proxy it reaches.
seeds = 2

start { daemons = 3, lag_ms = pick { 30, 150 } }
local clerk = open_workspace("ward")

local function write_then_read_everywhere(row)
    local said = send(pick { "vm-1", "vm-2", "vm-3" }, clerk,
        insert(row, "brown bear"))
    expect_equal(said.status, 200, said.text)
    for _, vm in ipairs { "vm-1", "vm-2", "vm-3" } do
        local found = send(vm, clerk, lookup(row))
        expect_equal(found.rows, { { "brown bear" } }, vm)
    end
end

section("a session that roams sees each write at once", function()
    for i = 1, 10 do
        write_then_read_everywhere("box-" .. i)
    end

    section("also when the daemon it wrote through is killed", function()
        local said = send("vm-1", clerk, insert("box-k", "bear"))
        expect_equal(said.status, 200, said.text)
        kill("vm-1")
        local found = send("vm-2", clerk, lookup("box-k"))
        expect_equal(found.rows, { { "bear" } })
    end)

    section("also when a replica's answers are cut off", function()
        cut(pick { "e2 -> daemons", "daemons -> e2", "daemons <-> e2" })
        local said = send("vm-1", clerk, insert("box-c", "bear"))
        expect_equal(said.status, 200, said.text)
        for _, vm in ipairs { "vm-2", "vm-3", "vm-2", "vm-3" } do
            local found = send(vm, clerk, lookup("box-c"), 5000)
            expect(found.status ~= 200 or found.rows[1],
                "a read passed the session's write by")
        end
        heal()
        local found = send("vm-2", clerk, lookup("box-c"))
        expect_equal(found.rows, { { "bear" } })
    end)

    section("also after a replica was frozen and fell behind", function()
        freeze("e3")
        local said = send("vm-1", clerk, insert("box-f", "bear"))
        expect_equal(said.status, 200, said.text)
        thaw("e3")
        for _ = 1, 10 do
            local found = send(pick { "vm-1", "vm-2", "vm-3" }, clerk,
                lookup("box-f"))
            expect_equal(found.rows, { { "bear" } })
        end
    end)

    section("also while the platform is down", function()
        platform("down")
        write_then_read_everywhere("box-p")
    end)
end)

section("a token of one workspace opens nothing in another", function()
    local other = open_workspace("other")
    expect_equal(send("vm-1", clerk, insert("box-1", "bear")).status, 200)
    other.token = clerk.token
    local said = send("vm-2", other, lookup("box-1"))
    expect_equal(said.error, "foreign_session")
    expect_equal(said.outcome, "not_run")
end)

section("many sessions in the background find their own rows", function()
    process.begin_writes { daemons = { "vm-1", "vm-2", "vm-3" },
        key = clerk.key, table = "bears", period_ms = 4 }
    process.pause(1500)
    local counts = check_record("vm-1", clerk, "bears",
        process.finish_writes("bears"))
    expect(counts.acknowledged > 100, "too few writes: " .. describe(counts))
end)
