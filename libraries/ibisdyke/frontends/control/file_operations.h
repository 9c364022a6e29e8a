#pragma once

#include <cstddef>
#include <filesystem>
#include <memory>

namespace ibisdyke::frontends {

/// The system calls that change a data folder. Each has the arguments and the result of the call of the same name and
/// sets errno when it fails. Tests replace them to make single calls fail.
class file_operations {
public:
    virtual ~file_operations() = default;

    /// Opens a file for writing; creates it if it does not exist. Returns its descriptor.
    virtual int open(const std::filesystem::path& file, int flags) = 0;
    virtual std::ptrdiff_t write(int descriptor, const char* bytes, std::size_t n) = 0;
    virtual int fdatasync(int descriptor) = 0;
    virtual int ftruncate(int descriptor, std::size_t length_bytes) = 0;
    virtual int rename(const std::filesystem::path& from, const std::filesystem::path& to) = 0;
    virtual int unlink(const std::filesystem::path& file) = 0;
    /// Makes created, renamed and removed names in the folder durable.
    virtual int sync_folder(const std::filesystem::path& folder) = 0;
};

/// The system calls of the operating system.
class system_file_operations final : public file_operations {
public:
    int open(const std::filesystem::path& file, int flags) override;
    std::ptrdiff_t write(int descriptor, const char* bytes, std::size_t n) override;
    int fdatasync(int descriptor) override;
    int ftruncate(int descriptor, std::size_t length_bytes) override;
    int rename(const std::filesystem::path& from, const std::filesystem::path& to) override;
    int unlink(const std::filesystem::path& file) override;
    int sync_folder(const std::filesystem::path& folder) override;
};

} // namespace ibisdyke::frontends
