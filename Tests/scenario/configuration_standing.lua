-- A daemon serves only while nothing newer can have been accepted: the decision
-- alone, on a logical clock, with cuts, freezes and an outage of the platform.
seeds = 20

local names = { "a", "b", "c", "d", "e" }
local bound = decide.standing_bound()
local w = world { latency = { 1, 20 } }
local truth = { version = 1, accepted = 1 } -- What the platform holds.
local beat, ask = 100, 100 -- Periods in ms.

w.add("platform", {})
local platform_node = w.nodes.platform
function platform_node.on_ask(_, from, body)
    if w.mode == "down" or w.mode == "silent" then
        return
    end
    w.post("platform", from, "told", { asked_at = body.asked_at,
        version = truth.version })
end

local function add_daemon(name)
    local d = w.add(name, { version = 1, confirmed_at = 0, answers = true,
        answered_at = 0, peers = {}, next_ask = 0, next_beat = draw(beat) })
    function d.tick(self)
        if w.now >= self.next_ask then
            self.next_ask = w.now + ask
            w.post(name, "platform", "ask", { asked_at = w.now })
        end
        -- An outage is seen when questions stay unanswered.
        self.answers = w.now - self.answered_at <= 5 * ask
        if w.now >= self.next_beat then
            self.next_beat = w.now + beat
            for _, peer in ipairs(names) do
                if peer ~= name then
                    w.post(name, peer, "beat", { asked_at = w.now })
                end
            end
        end
    end
    function d.on_told(self, _, body)
        self.answered_at = w.now
        self.answers = true
        if body.version >= self.version then
            self.version = body.version
            self.confirmed_at = math.max(self.confirmed_at, body.asked_at)
        end
    end
    function d.on_beat(self, from, body)
        w.post(name, from, "beat_back", { asked_at = body.asked_at,
            version = self.version, platform_answers = self.answers,
            confirmed_age = w.now - d.judged().confirmed_at })
    end
    function d.on_beat_back(self, from, body)
        self.peers[from] = { asked_at = body.asked_at,
            version = body.version, platform_answers = body.platform_answers,
            confirmed_age = body.confirmed_age }
    end
    function d.judged()
        local peers = {}
        for _, peer in pairs(d.peers) do
            peers[#peers + 1] = peer
        end
        return decide.judge_standing({ version = d.version,
            confirmed_at = d.confirmed_at, platform_answers = d.answers,
            members = #names, peers = peers }, w.now)
    end
    function d.serves()
        return d.runs and not d.frozen and d.judged().standing ~= "lapsed"
    end
    return d
end
for _, name in ipairs(names) do
    add_daemon(name)
end

-- An edit is accepted when every daemon knows it; or a majority does and has
-- for the bound, so that the others have lost the right to serve.
local function is_accepted(version)
    local know = 0
    for _, name in ipairs(names) do
        if w.nodes[name].version >= version then
            know = know + 1
        end
    end
    if know <= #names / 2 then
        return false
    end
    truth.majority_at = truth.majority_at or w.now
    return know == #names or w.now - truth.majority_at > bound
end

local function edit_now()
    truth.version = truth.version + 1
    truth.majority_at = nil
    return truth.version
end

-- The promise: whoever serves has every accepted version.
function w.check()
    if w.now % 10 ~= 0 then
        return
    end
    for _, name in ipairs(names) do
        local d = w.nodes[name]
        expect(d.version >= truth.accepted or not d.serves(),
            name .. " serves version " .. d.version .. " at " .. w.now
            .. " ms though " .. truth.accepted .. " was accepted")
    end
end

local function await_acceptance(version, limit)
    eventually(function()
        if is_accepted(version) then
            truth.accepted = version
            return true
        end
        return false
    end, limit, "the edit was not accepted")
    w.advance(2 * bound)
end

w.advance(500)

section("an edit in ordinary times", function()
    local version = edit_now()
    await_acceptance(version, 4000)
    for _, name in ipairs(names) do
        expect(w.nodes[name].serves(), name .. " serves")
    end
end)

section("a daemon is cut off from all, one way or both", function()
    local lost = pick(names)
    local way = pick { "to", "from", "both" }
    for _, name in ipairs { "platform", table.unpack(names) } do
        if name ~= lost then
            if way ~= "from" then cut(name .. " -> " .. lost) end
            if way ~= "to" then cut(lost .. " -> " .. name) end
        end
    end
    w.advance(draw(200))
    local version = edit_now()
    await_acceptance(version, 4000)
    expect(not w.nodes[lost].serves(), lost .. " still serves")

    section("and comes back", function()
        heal()
        w.advance(1000)
        expect(w.nodes[lost].serves(), lost .. " serves again")
        expect_equal(w.nodes[lost].version, version)
    end)
end)

section("a daemon is frozen past its right to serve", function()
    local lost = pick(names)
    freeze(lost)
    local version = edit_now()
    await_acceptance(version, 4000)
    thaw(lost)
    w.advance(1000)
    expect_equal(w.nodes[lost].version, version)
end)

section("the platform is down", function()
    platform("down")
    w.advance(4 * bound)
    for _, name in ipairs(names) do
        expect(w.nodes[name].serves(), name .. " goes on without it")
    end

    section("and one daemon is cut off as well", function()
        local lost = pick(names)
        for _, name in ipairs(names) do
            if name ~= lost then
                cut(name .. " <-> " .. lost)
            end
        end
        w.advance(2 * bound)
        expect(not w.nodes[lost].serves(), lost .. " can't know")
        platform("up")
        local version = edit_now()
        await_acceptance(version, 4000)
    end)
end)

section("an edit reaches a few, then the platform goes down", function()
    local few = { names[draw(5)], names[draw(5)] }
    for _, name in ipairs(names) do
        if name ~= few[1] and name ~= few[2] then
            cut("platform <-> " .. name)
        end
    end
    local version = edit_now()
    w.advance(pick { 150, 400 })
    platform("down")
    if w.nodes[few[1]].version >= version then
        for _ = 1, 2 * bound do
            if is_accepted(version) then
                truth.accepted = version
            end
            w.advance(1)
        end
    end
    platform("up")
    heal()
    await_acceptance(version, 4000)
end)
