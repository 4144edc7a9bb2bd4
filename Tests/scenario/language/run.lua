-- Runs scenario.story with its seeds and prints what failed and how to see it
-- again. A story sets `seeds` to how many it runs with.

local failed = 0
local path = scenario.story
local story = assert(loadfile(path))

local function run_seed(seed)
    set_seed(seed)
    local function from_start()
        set_seed(seed)
        story()
    end
    for _, failure in ipairs(run_leaves(from_start)) do
        failed = failed + 1
        print(("FAILED %s\n  section: %s\n  seed: %d\n  %s"):format(
            path, failure[1], seed, failure[2]))
        print(("  again: test_scenario --seed %d --section '%s' %s"):format(
            seed, failure[1] == "" and "all" or failure[1], path))
    end
end

if scenario.seed > 0 then
    run_seed(scenario.seed)
else
    seeds = 1
    local seed = 1
    repeat
        run_seed(seed)
        seed = seed + 1
    until seed > seeds
end
print(("%s: %s"):format(path, failed == 0 and "passed" or failed .. " failed"))
return failed
