-- The verbs on decisions alone: no process and no socket. A world is a set of
-- named nodes on a logical clock; messages between them take a time that the
-- seed draws, and are held by cuts, freezes and kills.

-- world{nodes = {"a", "b"}, latency = {1, 20}} replaces the verbs start, kill,
-- freeze, thaw, cut, heal and platform by ones on the logical world until the
-- section ends.
local process_verbs = {
    kill = kill, freeze = freeze, thaw = thaw, cut = cut, heal = heal,
    platform = platform, eventually = eventually, start = start,
}

local function restore_verbs()
    for name, verb in pairs(process_verbs) do
        _G[name] = verb
    end
end

local reset_processes = reset

function reset()
    restore_verbs()
    reset_processes()
end

local function link(from, to)
    return from .. " -> " .. to
end

function world(options)
    local w = {
        now = 0,
        mode = "up", -- Of the platform.
        nodes = {},
        cuts = {},
        queue = {},
        sent = 0,
    }
    local least, most = table.unpack(options.latency or { 1, 20 })

    -- A node takes messages by its fields `on_NAME(node, from, body)` and is
    -- woken by `tick(node)` once a period while it runs.
    local names = {} -- Sorted, so that each run goes the same way.
    function w.add(name, node)
        names[#names + 1] = name
        table.sort(names)
        node.name = name
        node.runs = true
        node.frozen = false
        w.nodes[name] = node
        return node
    end

    -- A message that meets a cut, a dead node or a platform outage is lost
    -- when it should arrive; at a frozen node it waits for the thaw.
    function w.post(from, to, name, body)
        w.sent = w.sent + 1
        w.queue[#w.queue + 1] = {
            due = w.now + least + draw(most - least + 1) - 1,
            order = w.sent, from = from, to = to, name = name, body = body,
        }
    end

    local function deliver(m)
        local to = w.nodes[m.to]
        if w.cuts[link(m.from, m.to)] or not to.runs then
            return
        end
        to["on_" .. m.name](to, m.from, m.body)
    end

    local function next_due()
        local best
        for i, m in ipairs(w.queue) do
            local to = w.nodes[m.to]
            local ready = m.due <= w.now and not to.frozen
            local first = best and w.queue[best]
            if ready and (not first or m.due < first.due
                or m.due == first.due and m.order < first.order) then
                best = i
            end
        end
        return best and table.remove(w.queue, best)
    end

    -- Moves the clock on, 1 ms at a time.
    function w.advance(ms)
        for _ = 1, ms do
            w.now = w.now + 1
            local m = next_due()
            while m do
                deliver(m)
                m = next_due()
            end
            for _, name in ipairs(names) do
                local node = w.nodes[name]
                if node.tick and node.runs and not node.frozen then
                    node:tick()
                end
            end
            if w.check then
                w.check()
            end
        end
    end

    function start(name) w.nodes[name].runs = true end
    function kill(name) w.nodes[name].runs = false end
    function freeze(name) w.nodes[name].frozen = true end
    function thaw(name) w.nodes[name].frozen = false end
    function cut(way)
        local from, arrow, to = way:match("^(%S+) (%S+) (%S+)$")
        w.cuts[link(from, to)] = true
        if arrow == "<->" then
            w.cuts[link(to, from)] = true
        end
    end
    function heal() w.cuts = {} end
    function platform(mode, delay_ms)
        w.mode = mode
        w.delay = delay_ms or 0
    end
    function eventually(done, limit, what)
        for _ = 1, limit do
            if done() then
                return
            end
            w.advance(1)
        end
        error(what or "it did not come about", 2)
    end
    return w
end
