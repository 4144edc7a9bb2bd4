#include <fstream>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <platform/node_file.hpp>
#include <support/certificates.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

json settings()
{
    return {{"node-name", "entry-1"},
            {"zone", "zone-1"},
            {"region", "region-1"},
            {"zones", {{"zone-1", "region-1"}}},
            {"ip-address", "127.0.0.1"},
            {"listen-addresses",
             {{"frontend", "127.0.0.1:1"},
              {"ready", "127.0.0.1:2"},
              {"control-plane", "127.0.0.1:3"}}},
            {"internal-port-range", {10, 12}},
            {"platform", {{"address", "127.0.0.1:4"}}},
            {"cloud-api", {{"address", "127.0.0.1:5"}}},
            {"bounds", {{"grace-period-s", 6}, {"quota-window-s", 5}}}};
}

site_settings read(const scratch_folder& folder, const json& content)
{
    const auto file = folder.m_path / "node.json";
    std::ofstream(file) << content.dump();
    return read_node_file(file, 0);
}

}

// Guards against a process that can't pass its sessions on, because its name
// isn't one field of a line.
SCENARIO("A settings file names the process and its place")
{
    const scratch_folder folder;
    json content = settings();

    THEN("they are read")
    {
        CHECK(read(folder, content).m_name == "entry-1");
        CHECK(read(folder, content).m_zone == "zone-1");
    }
    WHEN("one of them has a space, or nothing in it")
    {
        const std::string field = GENERATE("node-name", "zone", "region");
        const std::string value = GENERATE("entry 1", "", "entry\n1");
        content[field] = value;

        THEN("the file is refused")
        {
            CHECK_THROWS_AS(read(folder, content), node_file_error);
        }
    }
}
