#include "measure/requests/request_path.h"

#include <algorithm>
#include <sstream>

namespace ibisdyke::measure {

std::string encode(const request_path& it)
{
    return "/" + it.service + "/" + it.key + "/" + std::to_string(it.work_ms) + "/" + std::to_string(it.answer_bytes);
}

std::optional<request_path> decode_request_path(std::string_view text)
{
    std::string words(text);
    std::replace(words.begin(), words.end(), '/', ' ');
    std::istringstream fields(words);
    request_path it;
    if (!(fields >> it.service >> it.key >> it.work_ms >> it.answer_bytes))
        return std::nullopt;
    return it;
}

} // namespace ibisdyke::measure
