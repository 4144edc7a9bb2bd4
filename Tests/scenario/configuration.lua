-- An accepted configuration is in force everywhere within seconds and never
-- reverts.
seeds = 2

start { daemons = 3 }
local vms = { "vm-1", "vm-2", "vm-3" }
local clerk = open_workspace("ward", { rate = 10000, burst = 10000 })
local newest = { ["vm-1"] = 0, ["vm-2"] = 0, ["vm-3"] = 0 }

-- Looks at every daemon that answers; none may have gone back.
local function expect_no_way_back()
    for _, vm in ipairs(vms) do
        local version = version_at(vm)
        expect(version == 0 or version >= newest[vm],
            vm .. " went back from " .. newest[vm] .. " to " .. version)
        newest[vm] = math.max(newest[vm], version)
    end
end

local function edit_branch(value)
    local said = edit("branch", { rate = value })
    return tonumber(said:match("version (%d+)"))
end

local function expect_in_force(version, running)
    for _, vm in ipairs(running or vms) do
        eventually(function()
            expect_no_way_back()
            return version_at(vm) >= version
        end, limits.configuration, vm .. " has no version " .. version)
    end
end

-- Whoever serves has the accepted version in force.
local function expect_current_where_served(version)
    for _, vm in ipairs(vms) do
        local said = send(vm, { key = clerk.key }, "select 1", 2000)
        expect(said.status ~= 200 or version_at(vm) >= version,
            vm .. " serves an older version")
    end
end

section("edits are in force everywhere", function()
    for value = 1, 5 do
        expect_in_force(edit_branch(value))
    end
end)

section("the platform goes down after an edit, and comes back", function()
    local version = edit_branch(7)
    expect_in_force(version)
    platform(pick { "down", "silent" })
    for _ = 1, 20 do
        expect_no_way_back()
        process.pause(200)
    end
    expect_current_where_served(version)

    section("a daemon that starts meanwhile serves nothing older", function()
        kill("vm-2")
        start("vm-2")
        process.pause(1000)
        expect_current_where_served(version)
        platform("up")
        expect_in_force(version)
    end)

    section("and the next edit follows", function()
        platform("up")
        expect_in_force(edit_branch(8))
    end)
end)

section("a daemon is cut off from the platform", function()
    cut(pick { "vm-1 <-> platform", "vm-1 -> platform", "platform -> vm-1" })
    process.pause(500)
    local version = edit_branch(9)
    expect_in_force(version)
    expect_current_where_served(version)
end)

section("a daemon is frozen past its right to serve", function()
    freeze("vm-3")
    local version = edit_branch(10)
    process.pause(5000)
    thaw("vm-3")
    expect_current_where_served(version)
    expect_in_force(version)
end)

section("the platform loses answers", function()
    platform "lose_answers"
    process.ctl("put", "branch", json_text { rate = 11 })
    platform "up"
    expect_in_force(edit_branch(12))
end)

section("operators race each other's edits", function()
    local before = edit_branch(20)
    local words = {}
    for i = 1, 8 do
        words[i] = { "put", "branch", json_text { rate = 20 + i } }
    end
    local versions, won = {}, 0
    for _, done in ipairs(process.race(words)) do
        if done.code == 0 then
            won = won + 1
            local version = tonumber(done.output:match("version (%d+)"))
            expect(not versions[version], "two edits got one version")
            expect(version > before, "an edit went back")
            versions[version] = true
        end
    end
    expect(won > 0, "no edit was taken")
    expect_in_force(edit_branch(30))

    section("while the platform is slow and a daemon is cut off", function()
        platform("slow", 150)
        cut "vm-2 <-> platform"
        process.race(words)
        platform "up"
        expect_in_force(edit_branch(40))
    end)
end)

section("a bad edit is refused and changes nothing", function()
    local version = edit_branch(50)
    operator({ "put", "branch", '{"rate":-1}' }, process.ctl("put", "branch",
        '{"rate":-1}').code)
    expect(process.ctl("put", "branch", '{"rate":-1}').code ~= 0, "taken")
    expect(process.ctl("put", "branch", '{"surprise":1}').code ~= 0, "taken")
    expect_in_force(version)
end)
