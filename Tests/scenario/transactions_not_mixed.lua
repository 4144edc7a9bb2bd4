-- Statements of different transactions are never mixed on one connection.
seeds = 2

-- Four connections for each daemon: three transactions and a read.
start { daemons = 2, slots = 4, connections = 11 }
local clerk = open_workspace("ward", { rate = 5000, burst = 5000 })

local function insert_in(transaction, row)
    return { kind = "write", statement = "insert into bears values ($1, $2)",
        parameters = { row, "of " .. transaction }, transaction = transaction }
end

local function rows_of(row)
    local found = send("vm-1", { key = clerk.key }, lookup(row))
    expect_equal(found.status, 200, found.text)
    return found.rows
end

local function open_many(vm, n)
    local ids = {}
    for i = 1, n do
        local begun = begin(vm, clerk)
        expect_equal(begun.status, 200, begun.text)
        ids[i] = begun.body.transaction
    end
    return ids
end

section("three transactions are under way at one daemon", function()
    local ids = open_many("vm-1", 3)

    section("their statements cross, and each sees its own alone", function()
        for round = 1, 5 do
            local list = {}
            for i, id in ipairs(ids) do
                list[i] = insert_in(id, "row-" .. round)
            end
            for _, said in ipairs(send_together("vm-1", clerk, list)) do
                expect_equal(said.status, 200, said.text)
            end
            for _, id in ipairs(ids) do
                local asked = lookup("row-" .. round)
                asked.transaction = id
                expect_equal(send("vm-1", clerk, asked).rows,
                    { { "of " .. id } })
            end
        end
        expect_equal(rows_of("row-1"), {})

        section("one commits and the others roll back", function()
            local kept = pick(ids)
            for _, id in ipairs(ids) do
                local verb = id == kept and "commit" or "rollback"
                expect_equal(finish("vm-1", clerk, id, verb).status, 200)
            end
            for round = 1, 5 do
                expect_equal(rows_of("row-" .. round), { { "of " .. kept } })
            end
        end)

        section("the daemon is killed: nothing is half committed", function()
            kill("vm-1")
            start("vm-1")
            eventually(function()
                return send("vm-1", { key = clerk.key }, "select 1").status
                    == 200
            end)
            expect_equal(rows_of("row-1"), {})
            local said = finish("vm-1", clerk, ids[1], "commit")
            expect_equal(said.error, "unknown_transaction")
            expect_equal(said.outcome, "not_run")
        end)

        section("the endpoint's connections break: they all end", function()
            drop("e1")
            for _, id in ipairs(ids) do
                local said = finish("vm-1", clerk, id, "commit")
                expect(said.status ~= 200, "a lost transaction committed")
            end
            eventually(function()
                return send("vm-1", { key = clerk.key }, lookup("row-1"))
                    .status == 200
            end)
            expect_equal(rows_of("row-1"), {})
        end)
    end)

    section("lone statements beside them stay outside of them", function()
        expect_equal(send("vm-1", clerk, insert_in(ids[1], "inside")).status,
            200)
        expect_equal(send("vm-1", clerk, insert("outside", "bear")).status,
            200)
        expect_equal(finish("vm-1", clerk, ids[1], "rollback").status, 200)
        expect_equal(rows_of("inside"), {})
        expect_equal(rows_of("outside"), { { "bear" } })
    end)

    section("an answer that comes too late reaches nobody else", function()
        expect_equal(send("vm-1", clerk, insert_in(ids[1], "late")).status,
            200)
        cut("e1 -> daemons")
        local late = lookup("late")
        late.transaction = ids[1]
        late.time_limit_ms = 200
        local said = send("vm-1", clerk, late)
        expect_equal(said.status, 504, said.text)
        heal()
        eventually(function()
            return send("vm-1", { key = clerk.key }, lookup("late")).status
                == 200
        end)
        local said_end = finish("vm-1", clerk, ids[1], "commit")
        expect(said_end.status ~= 200, "a transaction in doubt committed")
        expect_equal(rows_of("late"), {})
    end)

    section("another workspace's key can't use one", function()
        local other = open_workspace("other")
        local said = send("vm-1", other, insert_in(ids[1], "stolen"))
        expect_equal(said.error, "unknown_transaction")
        expect_equal(finish("vm-1", other, ids[1], "commit").error,
            "unknown_transaction")
    end)
end)

section("a caller goes away in the middle: nothing is committed", function()
    local ids = open_many("vm-2", 2)
    expect_equal(send("vm-2", clerk, insert_in(ids[1], "orphan")).status, 200)
    process.hang_up("vm-2")
    expect_equal(rows_of("orphan"), {})
end)
