#include <catch2/catch.hpp>
#include <decide/access.hpp>
#include <decide/resolved_settings.hpp>
#include <decide/settings_limits.hpp>
#include <model/refusal.hpp>

using namespace bluebellspoke;

namespace
{

settings_tree tree_with_group()
{
    settings_tree tree;
    node_settings group;
    group.m_kind = node_kind::service;
    group.m_endpoints = {{"e1", "127.0.0.1:1", "seoul-a", false}};
    tree["group"] = {1, group};
    node_settings root;
    root.m_service = "group";
    root.m_rate = 50;
    tree[""] = {2, root};
    return tree;
}

node_settings workspace_node()
{
    node_settings own;
    own.m_kind = node_kind::workspace;
    return own;
}

std::string hex_digest(std::string_view key)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : sha256(key))
    {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xfU]);
    }
    return text;
}

refusal refusal_of(const resolved_settings& view, std::string_view key)
{
    try
    {
        check_key_access(view, key);
    }
    catch (const refusal_error& r)
    {
        REQUIRE(r.m_outcome == refusal_outcome::not_run);
        return r.m_code;
    }
    FAIL("the key was accepted");
    return refusal::conflict;
}

settings_fault fault_of(const settings_tree& tree)
{
    try
    {
        resolve_settings(tree, 1);
    }
    catch (const settings_error& e)
    {
        return e.m_fault;
    }
    FAIL("the tree was accepted");
    return settings_fault::malformed;
}

}

TEST_CASE("Values of a settings tree are inherited along its branches")
{
    settings_tree tree = tree_with_group();
    tree["haneul"] = {3, node_settings()};
    tree["haneul/ward"] = {4, workspace_node()};

    SECTION("a workspace inherits a value from the nearest node that sets it")
    {
        REQUIRE(
            resolve_settings(tree, 4)->m_workspaces.at("haneul/ward").m_rate ==
            50);
        tree["haneul"].m_own.m_rate = 20;
        REQUIRE(
            resolve_settings(tree, 4)->m_workspaces.at("haneul/ward").m_rate ==
            20);
        tree["haneul/ward"].m_own.m_rate = 10;
        REQUIRE(
            resolve_settings(tree, 4)->m_workspaces.at("haneul/ward").m_rate ==
            10);
    }
    SECTION("the queue limit is inherited and its range is checked")
    {
        tree["haneul"].m_own.m_queue_limit = 50;
        REQUIRE(resolve_settings(tree, 4)
                    ->m_workspaces.at("haneul/ward")
                    .m_queue_limit == 50);
        tree["haneul"].m_own.m_queue_limit = 0;
        REQUIRE(fault_of(tree) == settings_fault::out_of_range);
    }
    SECTION("a value that no node sets is the default")
    {
        REQUIRE(
            resolve_settings(tree, 4)->m_workspaces.at("haneul/ward").m_burst ==
            burst_range.m_default);
    }
    SECTION("a service that doesn't exist is reported as unknown_service")
    {
        tree["haneul"].m_own.m_service = "nowhere";
        REQUIRE(fault_of(tree) == settings_fault::unknown_service);
    }
    SECTION("keys give access to their own workspace until they are withdrawn")
    {
        const std::string key = "bbs_test";
        tree["haneul/ward"].m_own.m_keys = {{"clerk", hex_digest(key), false}};
        REQUIRE(check_key_access(*resolve_settings(tree, 4), key)
                    .m_workspace->m_name == "haneul/ward");
        REQUIRE(refusal_of(*resolve_settings(tree, 4), "") ==
                refusal::unknown_key);
        REQUIRE(refusal_of(*resolve_settings(tree, 4), "bbs_tes") ==
                refusal::unknown_key);
        tree["haneul/ward"].m_own.m_keys[0].m_withdrawn = true;
        REQUIRE(refusal_of(*resolve_settings(tree, 5), key) ==
                refusal::key_withdrawn);

        AND_WHEN("two workspaces have the same key")
        {
            tree["depot"] = {6, workspace_node()};
            tree["depot"].m_own.m_keys = {{"thief", hex_digest(key), false}};
            REQUIRE(fault_of(tree) == settings_fault::duplicate_key);
        }
    }
    SECTION("a route open to all admits only reads")
    {
        tree["haneul/ward"].m_own.m_open = true;
        const resolved_settings_ptr view = resolve_settings(tree, 4);
        REQUIRE(check_open_access(*view, "haneul/ward", statement_kind::read)
                    .m_workspace->m_name == "haneul/ward");
        REQUIRE_THROWS_AS(
            check_open_access(*view, "haneul/ward", statement_kind::write),
            refusal_error);
        REQUIRE_THROWS_AS(
            check_open_access(*view, "haneul", statement_kind::read),
            refusal_error);
    }
}
