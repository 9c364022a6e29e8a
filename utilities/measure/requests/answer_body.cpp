#include "measure/requests/answer_body.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>
#include <utility>

namespace ibisdyke::measure {

namespace {

constexpr std::size_t checksum_digits = 16;
constexpr std::size_t max_first_line_bytes = 1024;

std::string digest(const XXH3_state_t* hash)
{
    std::array<char, checksum_digits + 1> text{};
    const auto value = static_cast<unsigned long long>(XXH3_64bits_digest(hash));
    std::snprintf(text.data(), text.size(), "%016llx", value);
    return text.data();
}

XXH3_state_t* create_hash()
{
    auto* const it = XXH3_createState();
    XXH3_64bits_reset(it);
    return it;
}

} // namespace

answer_writer::answer_writer(const std::string& key, const std::string& upstream, std::uint64_t filler_bytes)
    : key_(key + ";")
    , pending_(key + " " + upstream + " " + std::to_string(filler_bytes) + "\n")
    , filler_left_(filler_bytes)
    , hash_(create_hash())
{
}

answer_writer::~answer_writer()
{
    XXH3_freeState(hash_);
}

std::string answer_writer::next(std::size_t max)
{
    auto piece = std::exchange(pending_, {});
    const auto filler = std::min<std::uint64_t>(filler_left_, max);
    piece.reserve(piece.size() + filler + checksum_digits);
    for (std::uint64_t i = 0; i < filler; ++i)
        piece += key_[(written_ + i) % key_.size()];
    written_ += filler;
    filler_left_ -= filler;
    XXH3_64bits_update(hash_, piece.data(), piece.size());
    if (filler_left_ == 0) {
        piece += digest(hash_);
        finished_ = true;
    }
    return piece;
}

answer_reader::answer_reader(std::string key)
    : key_(std::move(key))
    , hash_(create_hash())
{
}

answer_reader::~answer_reader()
{
    XXH3_freeState(hash_);
}

void answer_reader::append(std::string_view bytes)
{
    if (invalid_)
        return;
    if (has_first_line_) {
        consume(bytes);
        return;
    }
    first_line_.append(bytes);
    const auto end = first_line_.find('\n');
    if (end == std::string::npos) {
        invalid_ = first_line_.size() > max_first_line_bytes;
        return;
    }
    const auto rest = first_line_.substr(end + 1);
    first_line_.resize(end + 1);
    has_first_line_ = true;
    invalid_ = !read_first_line();
    consume(rest);
}

bool answer_reader::is_complete() const
{
    return !invalid_ && has_first_line_ && filler_left_ == 0 && checksum_ == digest(hash_);
}

bool answer_reader::read_first_line()
{
    XXH3_64bits_update(hash_, first_line_.data(), first_line_.size());
    std::istringstream fields(first_line_);
    std::string key;
    return static_cast<bool>(fields >> key >> upstream_ >> filler_left_) && key == key_;
}

void answer_reader::consume(std::string_view bytes)
{
    const auto filler = std::min<std::uint64_t>(filler_left_, bytes.size());
    XXH3_64bits_update(hash_, bytes.data(), filler);
    filler_left_ -= filler;
    checksum_.append(bytes.substr(filler));
    // Bytes after the checksum belong to another answer.
    invalid_ = invalid_ || checksum_.size() > checksum_digits;
}

} // namespace ibisdyke::measure
