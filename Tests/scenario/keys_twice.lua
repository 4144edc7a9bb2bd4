-- A withdrawn key stops working within seconds, also when two things fail at
-- once, and what it had begun comes to nothing.
seeds = 2

start { daemons = 3 }
local vms = { "vm-1", "vm-2", "vm-3" }
local clerk = open_workspace("ward")
local other = open_workspace("depot")

-- Whoever accepts a key after the bound breaks the promise; whoever can't know
-- refuses as stale.
local function expect_never_accepted(running, first)
    for _ = 1, 10 do
        for _, vm in ipairs { first or "vm-1", table.unpack(running or vms) } do
            local said = send(vm, { key = clerk.key }, lookup("box"), 2000)
            expect(said.status ~= 200, vm .. " accepts the key")
        end
    end
end

local function eventually_serves(vm)
    eventually(function()
        return send(vm, { key = other.key }, lookup("box"), 2000).status == 200
    end, nil, vm .. " does not serve the others")
end

local function expect_withdrawn(running)
    process.pause(limits.configuration)
    expect_never_accepted(running)
end

section("a transaction of the key comes to nothing", function()
    local begun = begin("vm-2", clerk)
    expect_equal(begun.status, 200, begun.text)
    local id = begun.body.transaction
    local write = insert("box", "bear")
    write.transaction = id
    expect_equal(send("vm-2", clerk, write).status, 200)
    operator { "withdraw", "ward", "clerk" }
    process.pause(limits.configuration)
    local ended = finish("vm-2", { key = clerk.key }, id, "commit")
    expect(ended.status ~= 200, "a withdrawn key committed")
    local auditor = new_session("ward", "auditor")
    local said
    eventually(function()
        said = send("vm-1", { key = auditor.key }, lookup("box"))
        return said.status == 200
    end)
    expect_equal(#said.rows, 0, "the write was kept")
end)

section("a daemon is frozen and the platform loses answers", function()
    local frozen = pick(vms)
    platform "lose_answers"
    freeze(frozen)
    process.ctl("withdraw", "ward", "clerk")
    platform "up"
    process.pause(limits.configuration)
    thaw(frozen)
    expect_never_accepted(nil, frozen)
    eventually_serves(frozen)
    expect_never_accepted()
end)

section("a daemon is cut off and another is replaced", function()
    cut(pick { "vm-1 <-> platform", "platform -> vm-1", "vm-1 -> platform" })
    kill "vm-2"
    operator { "withdraw", "ward", "clerk" }
    expect_withdrawn { "vm-1", "vm-3" }
    start "vm-2"
    eventually_serves "vm-2"
    expect_never_accepted()
end)

section("the platform goes down and a daemon is replaced", function()
    operator { "withdraw", "ward", "clerk" }
    platform(pick { "down", "silent" })
    local replaced = pick(vms)
    kill(replaced)
    start(replaced)
    expect_withdrawn()

    section("and it comes back", function()
        platform "up"
        for _, vm in ipairs(vms) do
            eventually_serves(vm)
        end
        expect_never_accepted()
    end)
end)

section("operators race, the platform is slow, a daemon is cut", function()
    platform("slow", pick { 50, 200 })
    cut "vm-3 <-> platform"
    local words = { { "withdraw", "ward", "clerk" } }
    for i = 1, 4 do
        words[#words + 1] = { "grant", "ward", "other-" .. i }
    end
    local withdrawn = process.race(words)[1]
    if withdrawn.code ~= 0 then
        operator { "withdraw", "ward", "clerk" }
    end
    expect_withdrawn()
    platform "up"
    heal()
    eventually_serves "vm-3"
    expect_never_accepted()
end)
