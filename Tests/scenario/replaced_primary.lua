-- No write is acknowledged by a primary that has been replaced, no acknowledged
-- write is lost by a promotion, and each session sees its own across terms: the
-- decisions of acknowledgement, election and routing alone, against fake endpoints that keep what docs/ENDPOINTS.md
-- says, with answers that are late, cuts, freezes and racing daemons.
seeds = 300

local size = pick { 3, 3, 5 }
local endpoints, daemons, acknowledged = {}, {}, {}
local sessions = {} -- Each with the write that it must see, and its position.
local now, next_id = 0, 0

for i = 1, size do
    endpoints[i] = { role = i == 1 and "primary" or "replica", fence = 1,
        log = { { term = 1, id = 0 } }, follows = 1, cut = false }
end

-- A cut endpoint is reached by nobody; a way may also be cut for one daemon, so
-- that an old primary can have a daemon on its side of a partition.
local function reaches(d, k)
    return not endpoints[k].cut and not d.cut[k]
end

local function state_of(e)
    local last = e.log[#e.log]
    local at = { term = last.term, offset = #e.log }
    return { role = e.role, fence = e.fence, received = at, replayed = at,
        asked_at = now }
end

local function fence(e, term, candidate)
    if term > e.fence then
        e.fence, e.candidate, e.role, e.follows = term, candidate, "replica",
            nil
        return true
    end
    return term == e.fence and e.candidate == candidate
end

local function holds_all_acknowledged(log)
    local held = {}
    for _, entry in ipairs(log) do
        expect(entry.id == 0 or not held[entry.id], "a write is doubled")
        held[entry.id] = true
    end
    for id in pairs(acknowledged) do
        expect(held[id], "write " .. id .. " was acknowledged and is lost")
    end
end

local function promote(e, term)
    if e.fence ~= term or e.role == "primary" then
        return
    end
    e.role = "primary"
    e.log[#e.log + 1] = { term = term, id = 0 }
    holds_all_acknowledged(e.log)
end

-- One entry further behind the primary, dropping what the logs don't share.
local function replicate(e)
    local from = e.follows and endpoints[e.follows]
    if not from or from.role ~= "primary" or from.cut or e.cut
        or from.fence ~= e.fence then
        return
    end
    local shared = 0
    while e.log[shared + 1] and from.log[shared + 1]
        and e.log[shared + 1].term == from.log[shared + 1].term do
        shared = shared + 1
    end
    while #e.log > shared do
        table.remove(e.log)
    end
    e.log[#e.log + 1] = from.log[shared + 1]
end

for i = 1, 2 do
    daemons[i] = { name = "vm-" .. i, views = {}, pending = {}, tried = 1,
        frozen = false, cut = {} }
    for k = 1, size do
        daemons[i].views[k] = { state = state_of(endpoints[k]) }
    end
end

local function poll(d, k)
    if reaches(d, k) then
        d.views[k] = { state = state_of(endpoints[k]) }
    end
end

-- A write is run in the term that the daemon believes; its answer may be lost.
local function write(d)
    local k = decide.find_primary(d.views)
    local e = k and endpoints[k]
    if not e or not reaches(d, k) or e.role ~= "primary"
        or e.fence ~= d.views[k].state.fence then
        return
    end
    next_id = next_id + 1
    e.log[#e.log + 1] = { term = e.fence, id = next_id }
    d.pending[next_id] = { term = e.fence, offset = #e.log }
    poll(d, k)
end

-- A session stands where its write was confirmed, or where its primary stood
-- when it was last asked, which a new term may never hold.
local function open_session(d, id, position)
    local k = decide.find_primary(d.views)
    local seen = k and d.views[k].state.received
    if seen and seen.term == position.term and draw(2) == 1 then
        position = { term = seen.term,
            offset = math.max(seen.offset, position.offset) }
    end
    sessions[#sessions + 1] = { id = id, position = position }
end

local function acknowledge(d)
    for id, position in pairs(d.pending) do
        if decide.is_confirmed(d.views, position) then
            d.pending[id] = nil
            acknowledged[id] = true
            open_session(d, id, position)
            local highest
            for _, e in ipairs(endpoints) do
                if e.role == "primary" and e.fence >= position.term
                    and (not highest or e.fence > highest.fence) then
                    highest = e
                end
            end
            -- If another leads by now, it must hold the write. A primary of an
            -- earlier term, whom no daemon has reached yet, can confirm nothing.
            local held = false
            for _, entry in ipairs(highest and highest.log or {}) do
                held = held or entry.id == id
            end
            expect(held or not highest, "a replaced primary's write " .. id
                .. " was acknowledged")
        elseif decide.is_superseded(d.views, position) then
            d.pending[id] = nil
        end
    end
end

-- A session reads through any daemon; the state that comes with the answer is
-- looked at again.
local function read(d)
    local s = #sessions > 0 and pick(sessions)
    if not s then
        return
    end
    local need = { session = s.position }
    local chosen = decide.choose_endpoint(d.views, need, now)
    local e = endpoints[chosen.endpoint]
    if chosen.outcome ~= "run" or not reaches(d, chosen.endpoint) then
        return
    end
    poll(d, chosen.endpoint)
    local at_answer = { d.views[chosen.endpoint] }
    if decide.choose_endpoint(at_answer, need, now).outcome ~= "run" then
        return
    end
    for _, entry in ipairs(e.log) do
        if entry.id == s.id then
            return
        end
    end
    expect(false, "a session of term " .. s.position.term
        .. " did not see its write " .. s.id)
end

local function begin_election(d)
    local highest = d.tried
    for _, v in ipairs(d.views) do
        highest = math.max(highest, v.state.fence)
    end
    d.tried = highest + 1
    d.election = { term = d.tried, candidate = d.name, began_at = now,
        ballots = {} }
    for k = 1, size do
        d.election.ballots[k] = false
    end
end

local function voters_of(d)
    local voters = {}
    for k, v in ipairs(d.views) do
        voters[k] = { state = v.state, heard_at = v.state.asked_at }
    end
    return voters
end

local function step_election(d)
    local e = d.election
    local k = draw(size)
    if not e.ballots[k] and reaches(d, k) then
        local granted = fence(endpoints[k], e.term, d.name)
        -- An answer may be lost; the fence stays, and is asked for again.
        if draw(5) > 1 then
            e.ballots[k] = { granted = granted, state = state_of(endpoints[k]) }
        end
    end
    local result = decide.judge_election(e, voters_of(d), now)
    if result.outcome == "open" then
        return
    end
    d.election = nil
    if result.outcome == "won" and reaches(d, result.winner) then
        promote(endpoints[result.winner], e.term)
    end
end

-- Whoever hears of a leader tells the others to follow it.
local function tell_followers(d)
    local k = decide.find_primary(d.views)
    if not k or endpoints[k].role ~= "primary" then
        return
    end
    local term = d.views[k].state.fence
    for i, e in ipairs(endpoints) do
        if i ~= k and reaches(d, i) and e.fence <= term
            and endpoints[k].fence == term then
            if e.fence < term then
                e.fence, e.candidate, e.role = term, nil, "replica"
            end
            e.follows = k
        end
    end
end

for k = 2, size do
    endpoints[k].follows = 1
end

local function step()
    now = now + draw(40)
    local d = pick(daemons)
    if draw(60) == 1 then
        d.frozen = not d.frozen
    end
    if draw(25) == 1 then
        local e = pick(endpoints)
        e.cut = not e.cut
    end
    if draw(30) == 1 then
        local k = draw(size)
        d.cut[k] = not d.cut[k]
    end
    for _ = 1, 2 do
        replicate(pick(endpoints))
    end
    if d.frozen then
        return
    end
    read(d)
    local what = draw(12)
    if what <= 4 then
        poll(d, draw(size))
    elseif what <= 6 then
        write(d)
    elseif what <= 8 then
        acknowledge(d)
    elseif what == 9 then
        tell_followers(d)
    elseif d.election then
        step_election(d)
    elseif draw(15) == 1 then
        begin_election(d)
    end
end

section("a session of the new term meets the old primary", function()
    -- vm-1 is left with e1, which has taken writes that nobody else has.
    local d1, d2, e1 = daemons[1], daemons[2], endpoints[1]
    for _ = 1, 10 + draw(20) do
        next_id = next_id + 1
        e1.log[#e1.log + 1] = { term = 1, id = next_id }
    end
    for k = 1, size do
        d1.cut[k], d2.cut[k] = k ~= 1, k == 1
        d2.views[k] = { state = state_of(endpoints[k]) }
    end
    poll(d1, 1)
    begin_election(d2)
    while d2.election do
        now = now + 10
        step_election(d2)
    end
    local function settle()
        for k = 1, size do
            poll(d2, k)
        end
        tell_followers(d2)
        for _ = 1, 100 do
            replicate(endpoints[draw(size)])
        end
        for k = 1, size do
            poll(d2, k)
        end
    end
    settle()
    write(d2)
    settle()
    acknowledge(d2)
    expect_equal(#sessions, 1, "acknowledged writes of the new term")
    read(d1)

    section("and again once that is fenced and has yet to follow", function()
        fence(e1, sessions[1].position.term, "vm-2")
        poll(d1, 1)
        read(d1)
    end)
end)

section("writes, elections, cuts and freezes in any order", function()
    for _ = 1, 600 do
        step()
    end
end)

section("and all is well again at the end", function()
    for _ = 1, 300 do
        step()
    end
    for _, e in ipairs(endpoints) do
        e.cut = false
    end
    local d = daemons[1]
    d.frozen, d.cut = false, {}
    daemons[2].frozen = true
    local leader
    for _ = 1, 4000 do
        now = now + 10
        for k = 1, size do
            poll(d, k)
        end
        leader = decide.find_primary(d.views)
        if leader then
            break
        end
        if not d.election then
            begin_election(d)
        end
        step_election(d)
    end
    expect(leader, "nobody leads")
    holds_all_acknowledged(endpoints[leader].log)
    for _, s in ipairs(sessions) do
        local chosen = decide.choose_endpoint(d.views,
            { session = s.position }, now)
        expect_equal(chosen.outcome, "run", "a session's read")
    end
end)
