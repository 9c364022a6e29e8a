#include "ibisdyke/frontends/control/pending_answers.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace ibisdyke;
using frontends::pending_answers;
using frontends::submit_status;
using replication::proposal_status;

namespace {

class pending_fixture {
public:
    pending_answers::submit_callback command()
    {
        return [this](const auto& it) { commands_.push_back(it.status); };
    }
    pending_answers::change_callback change()
    {
        return [this](auto it) { changes_.push_back(it); };
    }
    pending_answers::read_callback read()
    {
        return [this](bool it) { reads_.push_back(it); };
    }

    pending_answers waiting_;
    std::vector<submit_status> commands_;
    std::vector<proposal_status> changes_;
    std::vector<bool> reads_;
};

} // namespace

// Guards against an operator who is told that a change took effect although another leader's record took its place.
TEST_CASE_METHOD(pending_fixture, "a record of another term at the same index answers that the command was dropped")
{
    waiting_.add_command({1, 5}, command());
    waiting_.add_command({1, 6}, command());
    waiting_.add_change({1, 7}, change());
    waiting_.answer({1, 5}, std::nullopt);
    waiting_.answer({2, 6}, std::nullopt);
    waiting_.answer({2, 7}, std::nullopt);
    CHECK(commands_ == std::vector{submit_status::committed, submit_status::not_leader});
    CHECK(changes_ == std::vector{proposal_status::not_leader});
}

// Guards against a command that is reported as not run although its record may be committed later, and against answers
// that are given twice.
TEST_CASE_METHOD(pending_fixture, "all who wait learn once that the outcome is unknown")
{
    waiting_.add_command({1, 5}, command());
    waiting_.add_change({1, 6}, change());
    waiting_.add_read(1, read());
    waiting_.add_read(2, read());
    waiting_.answer_read(1);
    waiting_.fail_all();
    waiting_.fail_all();
    waiting_.answer({1, 5}, std::nullopt);
    waiting_.answer_read(2);
    CHECK(commands_ == std::vector{submit_status::unknown});
    CHECK(changes_ == std::vector{proposal_status::not_leader});
    CHECK(reads_ == std::vector{true, false});
}
