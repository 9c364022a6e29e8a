#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace ibisdyke::measure {

/// Produces the body of an answer in pieces. The body is a line with the request's key, the upstream's name and the
/// number of filler bytes, then the filler, then a checksum of all preceding bytes (16 hexadecimal digits). With it a
/// caller detects an answer to another request, mixed answers and a truncated answer.
class answer_writer {
public:
    answer_writer(const std::string& key, const std::string& upstream, std::uint64_t filler_bytes);
    ~answer_writer();
    answer_writer(const answer_writer&) = delete;
    answer_writer& operator=(const answer_writer&) = delete;
    answer_writer(answer_writer&&) = delete;
    answer_writer& operator=(answer_writer&&) = delete;

    /// Returns the next piece with at most `max` bytes of filler. After the last piece, finished() returns true.
    std::string next(std::size_t max);

    bool finished() const { return finished_; }

private:
    std::string key_;
    std::string pending_;
    std::uint64_t filler_left_;
    std::uint64_t written_ = 0;
    bool finished_ = false;
    XXH3_state_s* hash_;
};

/// Checks the body of an answer while it arrives.
class answer_reader {
public:
    explicit answer_reader(std::string key);
    ~answer_reader();
    answer_reader(const answer_reader&) = delete;
    answer_reader& operator=(const answer_reader&) = delete;
    answer_reader(answer_reader&&) = delete;
    answer_reader& operator=(answer_reader&&) = delete;

    void append(std::string_view bytes);

    /// Returns whether the bytes so far are exactly one complete answer to the request with this key.
    bool is_complete() const;

    /// Returns the name of the upstream that answered, or an empty string before the first line has arrived.
    const std::string& upstream() const { return upstream_; }

private:
    bool read_first_line();
    void consume(std::string_view bytes);

    std::string key_;
    std::string first_line_;
    bool has_first_line_ = false;
    bool invalid_ = false;
    std::string upstream_;
    std::uint64_t filler_left_ = 0;
    std::string checksum_;
    XXH3_state_s* hash_;
};

} // namespace ibisdyke::measure
