#include "ibisdyke/frontends/control/pending_operations.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace ibisdyke;
using frontends::pending_operations;
using frontends::submit_status;
using replication::proposal_status;

namespace {

class pending_operations_fixture {
public:
    pending_operations::submit_callback command()
    {
        return [this](const auto& it) { commands_.push_back(it.status); };
    }
    pending_operations::member_change_callback member_change()
    {
        return [this](auto it) { member_changes_.push_back(it); };
    }
    pending_operations::read_callback read()
    {
        return [this](bool it) { reads_.push_back(it); };
    }

    pending_operations pending_;
    std::vector<submit_status> commands_;
    std::vector<proposal_status> member_changes_;
    std::vector<bool> reads_;
};

} // namespace

// A command must not be reported as committed when a later leader has committed another record at its index.
TEST_CASE_METHOD(
    pending_operations_fixture, "an operation fails when a record of another term is committed at its index")
{
    pending_.add_command({1, 5}, command());
    pending_.add_command({1, 6}, command());
    pending_.add_member_change({1, 7}, member_change());
    pending_.complete_record({1, 5}, std::nullopt);
    pending_.complete_record({2, 6}, std::nullopt);
    pending_.complete_record({2, 7}, std::nullopt);
    CHECK(commands_ == std::vector{submit_status::committed, submit_status::not_leader});
    CHECK(member_changes_ == std::vector{proposal_status::not_leader});
}

// A command whose record may still be committed must not be reported as not executed, and no callback may run twice.
TEST_CASE_METHOD(pending_operations_fixture, "abort_all completes each pending operation exactly once")
{
    pending_.add_command({1, 5}, command());
    pending_.add_member_change({1, 6}, member_change());
    pending_.add_read(1, read());
    pending_.add_read(2, read());
    pending_.confirm_read(1);
    pending_.abort_all();
    pending_.abort_all();
    pending_.complete_record({1, 5}, std::nullopt);
    pending_.confirm_read(2);
    CHECK(commands_ == std::vector{submit_status::unknown});
    CHECK(member_changes_ == std::vector{proposal_status::not_leader});
    CHECK(reads_ == std::vector{true, false});
}
