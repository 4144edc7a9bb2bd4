-- An accepted configuration is in force wherever requests are served, whatever
-- two things fail at once while the operators' client is told of it.
seeds = 2

start { daemons = 3 }
local vms = { "vm-1", "vm-2", "vm-3" }

-- The edit shuts a board that was open to all, so that an answer shows which
-- configuration it was served by.
local function set_board(is_open)
    return process.ctl("put", "board", json_text {
        kind = "workspace", service = "group", open = is_open })
end

local function reads_board(vm)
    return send(vm, {}, { path = "/v1/open/board",
        text = json_text { statement = "select 1" } }, 2000).status == 200
end

eventually(function() return set_board(true).code == 0 end)
for _, vm in ipairs(vms) do
    eventually(function() return reads_board(vm) end, nil, vm)
end

-- What the client calls in force is in force wherever a request is served.
local function expect_true_word(done, first)
    if done.code ~= 0 then
        return
    end
    for _ = 1, 10 do
        for _, vm in ipairs { first or "vm-1", table.unpack(vms) } do
            expect(not reads_board(vm), vm .. " serves an older version")
        end
    end
end

local function eventually_everywhere()
    eventually(function() return set_board(true).code == 0 end, nil,
        "no edit is accepted")
    for _, vm in ipairs(vms) do
        eventually(function() return reads_board(vm) end,
            limits.configuration, vm .. " has an older version")
    end
end

section("an answer is lost and a daemon is cut off", function()
    cut(pick { "vm-1 <-> platform", "vm-1 -> platform", "platform -> vm-1" })
    platform "lose_answers"
    expect_true_word(set_board(false))
    platform "up"
    expect_true_word(set_board(false))
    heal()
    eventually_everywhere()
end)

section("an answer is lost and a daemon is frozen past its right", function()
    local frozen = pick(vms)
    freeze(frozen)
    platform "lose_answers"
    local done = set_board(false)
    platform "up"
    if done.code ~= 0 then
        done = set_board(false)
    end
    thaw(frozen)
    expect_true_word(done, frozen)
    eventually_everywhere()
end)

section("a daemon is frozen past its right and another is cut", function()
    cut "vm-3 <-> platform"
    freeze "vm-1"
    process.pause(draw(3000))
    local done = set_board(false)
    thaw "vm-1"
    expect_true_word(done, "vm-1")
    heal()
    eventually_everywhere()
end)

section("the platform goes down while operators race", function()
    local words = {}
    for i = 1, 6 do
        words[i] = { "put", "board", json_text { kind = "workspace",
            service = "group", open = false, rate = i } }
    end
    platform("slow", 100)
    local done = process.race(words)
    platform "down"
    kill "vm-2"
    start "vm-2"
    for _, one in ipairs(done) do
        expect_true_word(one, "vm-2")
    end
    platform "up"
    eventually_everywhere()
end)
