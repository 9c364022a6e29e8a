#include "ibisdyke/frontends/control/file_operations.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

namespace ibisdyke::frontends {

namespace {

constexpr mode_t file_mode = 0600;

} // namespace

int system_file_operations::open(const std::filesystem::path& file, int flags)
{
    return ::open(file.c_str(), flags | O_CREAT | O_CLOEXEC, file_mode);
}

std::ptrdiff_t system_file_operations::write(int descriptor, const char* bytes, std::size_t n)
{
    return ::write(descriptor, bytes, n);
}

int system_file_operations::fdatasync(int descriptor)
{
    return ::fdatasync(descriptor);
}

int system_file_operations::ftruncate(int descriptor, std::size_t length_bytes)
{
    return ::ftruncate(descriptor, static_cast<off_t>(length_bytes));
}

int system_file_operations::rename(const std::filesystem::path& from, const std::filesystem::path& to)
{
    return std::rename(from.c_str(), to.c_str());
}

int system_file_operations::unlink(const std::filesystem::path& file)
{
    return ::unlink(file.c_str());
}

int system_file_operations::sync_folder(const std::filesystem::path& folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return -1;
    const int result = ::fsync(descriptor);
    const auto saved_errno = errno;
    ::close(descriptor);
    errno = saved_errno;
    return result;
}

} // namespace ibisdyke::frontends
