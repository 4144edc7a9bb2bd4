-- Sections as in Catch2: the story runs from its start once for each leaf.

local finished = {}
local frame -- Of the section under way.

local function join(path, name)
    return path == "" and name or path .. " / " .. name
end

local function is_wanted(path)
    local wanted = scenario.section
    return wanted == "all" or path == wanted
        or path:sub(1, #wanted + 3) == wanted .. " / "
        or wanted:sub(1, #path + 3) == path .. " / "
end

local failed_in -- The innermost section that the error left.

-- An error passes through each section around it; one trace is enough.
local function add_trace(fault)
    fault = tostring(fault)
    if fault:find("stack traceback:", 1, true) then
        return fault
    end
    return debug.traceback(fault, 2)
end

function section(name, body)
    local path = join(frame.path, name)
    if finished[path] or not is_wanted(path) then
        return
    end
    if frame.child_ran then
        frame.more = true
        return
    end
    frame.child_ran = true
    local outer = frame
    frame = { path = path }
    local ok, fault = xpcall(body, add_trace)
    if not ok and not failed_in then
        failed_in = path
    end
    if frame.more then
        outer.more = true
    else
        finished[path] = true
    end
    frame = outer
    if not ok then
        -- What follows here was not reached; the next run passes it by.
        outer.more = true
        error(fault, 0)
    end
end

-- Runs every leaf of a story. Returns the failures as {path, fault} pairs.
function run_leaves(story)
    local failures = {}
    finished = {}
    repeat
        frame = { path = "" }
        failed_in = nil
        reset()
        local ok, fault = xpcall(story, add_trace)
        if not ok then
            failures[#failures + 1] = { failed_in or "", fault }
        end
    until not frame.more
    reset()
    return failures
end

-- Fails the section unless `holds` is true.
function expect(holds, what)
    if not holds then
        error(what or "an expectation does not hold", 2)
    end
end

local function show(value)
    if type(value) ~= "table" then
        return tostring(value)
    end
    local parts = {}
    for key, item in pairs(value) do
        parts[#parts + 1] = tostring(key) .. "=" .. show(item)
    end
    table.sort(parts)
    return "{" .. table.concat(parts, ", ") .. "}"
end

function describe(value)
    return show(value)
end

-- Fails the section unless both show alike.
function expect_equal(got, wanted, what)
    if show(got) ~= show(wanted) then
        error((what or "values differ") .. ": got " .. show(got)
            .. ", wanted " .. show(wanted), 2)
    end
end

-- Choices that the seed decides.
local random_state = 1

function set_seed(seed)
    scenario.current_seed = seed
    random_state = seed * 2654435761 % 4294967296 + 1
end

-- A whole number from 1 to n.
function draw(n)
    random_state = (random_state * 6364136223846793005 + 1442695040888963407)
    return (random_state >> 33) % n + 1
end

function pick(choices)
    return choices[draw(#choices)]
end
