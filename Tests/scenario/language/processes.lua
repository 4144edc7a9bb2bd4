-- The verbs on real processes over loopback. A world begins with
-- start{daemons=2, …}; daemons are vm-1, vm-2…, endpoints e1, e2…, and e1 is
-- the first primary.

-- Limits from the stated target, in ms.
limits = {
    failover = 7000,
    configuration = 4000,
    leaving = 2000,
    settled = 20000, -- For what no target bounds.
}

local far_sides = { daemons = true, platform = true }
local cuts = {}

function reset()
    cuts = {}
    process.reset()
end

-- start{…} starts a world; start("vm-1") a process that was killed.
function start(what)
    if type(what) == "table" then
        process.start_fleet(what)
    else
        process.start_again(what)
    end
end

function kill(name) process.signal(name, "kill") end
function freeze(name) process.signal(name, "freeze") end
function thaw(name) process.signal(name, "thaw") end
function terminate(name) process.signal(name, "terminate") end

local function apply_cut(name)
    local c = cuts[name]
    process.cut(name, c.to, c.from)
end

-- cut("daemons -> e1"): what goes to e1; cut("e1 -> daemons"): what it
-- answers; cut("daemons <-> e1"): both. With a daemon: "vm-1 <-> platform".
function cut(way)
    local from, arrow, to = way:match("^(%S+) (%S+) (%S+)$")
    -- An endpoint's relay stands before it, a daemon's before the platform.
    local at_daemon = to == "platform" or from == "platform"
    local name = far_sides[from] and to or from
    local c = cuts[name] or { to = false, from = false }
    local into = (from == name) == at_daemon
    c.to = c.to or arrow == "<->" or into
    c.from = c.from or arrow == "<->" or not into
    cuts[name] = c
    apply_cut(name)
end

-- heal() heals every cut; heal("e1") those of one process.
function heal(name)
    for cut_name, c in pairs(cuts) do
        if name == nil or name == cut_name then
            c.to, c.from = false, false
            apply_cut(cut_name)
        end
    end
end

-- Closes every connection to the endpoint.
function drop(name) process.drop(name) end

-- platform("down"), "silent", "lose_answers", "up", or ("slow", delay in ms).
function platform(mode, delay_ms)
    process.platform({ mode = mode, delay_ms = delay_ms or 0 })
end

-- Runs the operators' client; fails unless it ends with `code`, else 0.
function operator(words, code)
    local done = process.ctl(table.unpack(words))
    expect_equal(done.code, code or 0, table.concat(words, " ")
        .. " said " .. done.output)
    return done.output
end

function edit(path, node)
    return operator({ "put", path, json_text(node) })
end

local function escape(text)
    return (text:gsub('[%c"\\]', function(c)
        return ("\\u%04x"):format(c:byte())
    end))
end

function json_text(value)
    if value == null or value == nil then
        return "null"
    elseif type(value) == "string" then
        return '"' .. escape(value) .. '"'
    elseif type(value) ~= "table" then
        return tostring(value)
    elseif #value > 0 then
        local items = {}
        for i, item in ipairs(value) do
            items[i] = json_text(item)
        end
        return "[" .. table.concat(items, ",") .. "]"
    end
    local items = {}
    for name, item in pairs(value) do
        items[#items + 1] = json_text(name) .. ":" .. json_text(item)
    end
    return "{" .. table.concat(items, ",") .. "}"
end

-- Asks again until `done` returns true, at most `limit` ms.
function eventually(done, limit, what)
    local finish = process.now_ms() + (limit or limits.settled)
    while not done() do
        expect(process.now_ms() < finish, what or "it did not come about")
        process.pause(20)
    end
end

-- A workspace of the group and a key to it. Waits until every daemon that
-- runs serves it.
function open_workspace(name, settings)
    local node = { kind = "workspace", service = "group" }
    for field, value in pairs(settings or {}) do
        node[field] = value
    end
    edit(name, node)
    local session = new_session(name, "clerk")
    for _, vm in ipairs(process.vm_list()) do
        eventually(function()
            return send(vm.name, session, "select 1").status == 200
        end, nil, name .. " is not served")
        session.token = nil
    end
    return session
end

function new_session(workspace, key_id)
    local printed = operator({ "grant", workspace, key_id })
    return { key = printed:match("^[^\n]*") }
end

local function to_request(session, what)
    if type(what) == "string" then
        what = { statement = what }
    end
    local headers = {}
    if session.key then
        headers.authorization = "Bearer " .. session.key
    end
    if session.token then
        headers["x-bluebellspoke-session"] = session.token
    end
    if what.path then
        return { path = what.path, headers = headers, text = what.text or "" }
    end
    return { headers = headers, body = what }
end

local function keep_token(session, reply)
    if reply.session ~= "" then
        session.token = reply.session
    end
    reply.rows = reply.body and reply.body.rows
    return reply
end

-- Sends one statement, given as text or as a table of its fields.
function send(vm, session, what, limit_ms)
    local replies = process.send(vm, { to_request(session, what) },
        limit_ms or limits.settled)
    return keep_token(session, replies[1])
end

-- Sends many statements at once over one connection.
function send_together(vm, session, list, limit_ms)
    local requests = {}
    for i, what in ipairs(list) do
        requests[i] = to_request(session, what)
    end
    local replies = process.send(vm, requests, limit_ms or limits.settled)
    for _, reply in ipairs(replies) do
        reply.rows = reply.body and reply.body.rows
    end
    return replies
end

-- Sends {vm, session, what} each on a connection of its own, at once.
function send_everywhere(list, limit_ms)
    local requests = {}
    for i, one in ipairs(list) do
        requests[i] = { one[1], to_request(one[2], one[3]) }
    end
    local replies = process.send_everywhere(requests,
        limit_ms or limits.settled)
    for _, reply in ipairs(replies) do
        reply.rows = reply.body and reply.body.rows
    end
    return replies
end

function insert(row, value, request_id)
    return {
        kind = "write",
        statement = "insert into bears values ($1, $2)",
        parameters = { row, value },
        request_id = request_id,
    }
end

function lookup(row)
    return {
        statement = "select value from bears where key = $1",
        parameters = { row },
    }
end

function begin(vm, session)
    return send(vm, session, { path = "/v1/transactions" })
end

-- `verb` is commit or rollback.
function finish(vm, session, transaction, verb)
    return send(vm, session,
        { path = "/v1/transactions/" .. transaction .. "/" .. verb })
end

-- Runs the operators' client with each list of words at once; at least one
-- edit is taken.
function race_edits(words)
    local won = 0
    for _, done in ipairs(process.race(words)) do
        won = won + (done.code == 0 and 1 or 0)
    end
    expect(won > 0, "no edit was taken")
end

-- Rows of a key in the table of bears, as the daemon that `vm` names counts
-- them.
function count_rows(vm, session, row)
    local found
    eventually(function()
        found = send(vm(), { key = session.key }, {
            statement = "select count(*) from bears where key = $1",
            parameters = { row } }, 3000)
        return found.status == 200
    end, nil, "the rows can't be counted")
    return tonumber(found.rows[1][1])
end

-- Checks a background writer's record against the rows that there are at the
-- end: none lost, none doubled, none that "not run" denied.
function check_record(vm, session, table_name, record)
    local counts = { acknowledged = 0, not_run = 0, unknown = 0, cut = 0 }
    for _, one in ipairs(record) do
        counts[one.fate] = counts[one.fate] + 1
        counts.cut = counts.cut + (one.cut and 1 or 0)
        local asked = {
            statement = "select count(*) from " .. table_name
                .. " where key = $1",
            parameters = { one.row },
        }
        local found = send(vm, { key = session.key }, asked)
        eventually(function()
            if found.status ~= 200 then
                found = send(vm, { key = session.key }, asked)
            end
            return found.status == 200
        end, nil, "the rows can't be counted: " .. found.text)
        local rows = tonumber(found.rows[1][1])
        expect(rows <= 1, one.row .. " is doubled")
        expect(one.fate ~= "acknowledged" or rows == 1,
            one.row .. " was acknowledged and is lost")
        expect(one.fate ~= "not_run" or rows == 0,
            one.row .. " was refused as not run and has run")
        expect(not one.stale, one.row .. " was not seen by its own session")
        expect(not one.mixed, one.row .. " was answered another row's value")
    end
    return counts
end

-- The settings version that a daemon has in force; 0 while it doesn't answer.
function version_at(vm)
    local dump = process.admin(vm, "/dump")
    return dump.body and dump.body.tasks.control.settings_version or 0
end

-- Edits the group's endpoints by name: change(name, node) may alter the node.
function edit_group(change, settings)
    local node = { kind = "service" }
    for field, value in pairs(settings or {}) do
        node[field] = value
    end
    node.endpoints = process.group_endpoints()
    for _, endpoint in ipairs(node.endpoints) do
        change(endpoint.name, endpoint)
    end
    return edit("group", node)
end

-- A read that a replica may serve, with a mark by which relays know it.
function marked_read(mark)
    return {
        statement = "select value from bears where key = $1",
        parameters = { mark }, max_age_ms = 600000,
    }
end

-- An endpoint as a daemon knows it: role, fence and received, which is term
-- and offset; an empty table while the daemon hears nothing of it.
function endpoint_at(vm, name)
    local dump = process.admin(vm, "/dump")
    local group = dump.body and dump.body.tasks.pool.groups.group
    return group and group[tonumber(name:match("%d+"))] or {}
end

-- The endpoint that leads as a daemon knows it, and its term.
function primary_at(vm)
    local dump = process.admin(vm, "/dump")
    local leader, term = nil, 0
    for i, e in ipairs(dump.body and dump.body.tasks.pool.groups.group or {}) do
        if (e.fence or 0) > term then
            leader, term = nil, e.fence
        end
        if e.role == "primary" and e.fence == term then
            leader = "e" .. i
        end
    end
    return leader, term
end

-- Waits within the target until a daemon knows a primary of a later term;
-- returns its name and term.
function await_promotion(vm, old_term)
    local leader, term
    eventually(function()
        leader, term = primary_at(vm)
        return leader and term > old_term
    end, limits.failover, vm .. " knows no new primary")
    return leader, term
end

-- Waits until an endpoint follows the group's primary and has what that had
-- when first asked; the primary may go on writing.
function await_following(vm, name)
    local goal = { 0, 0 }
    eventually(function()
        local leader, term = primary_at(vm)
        if not leader or leader == name then
            return false
        end
        if goal[1] < term then
            goal = endpoint_at(vm, leader).received or goal
        end
        local e = endpoint_at(vm, name)
        return e.role == "replica" and e.fence == term and goal[1] == term
            and e.received[1] == term and e.received[2] >= goal[2]
    end, limits.failover, name .. " doesn't follow")
end
