#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace radishstep::testing {

/// A child process of a test. The destructor kills it if it still runs.
class process
{
public:
    /// Starts `program`, a file name in the folder of the running program, and appends its output to `log_file`.
    process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log_file);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Sends a signal, unless the process has ended.
    void signal(int number) const;

    /// Kills the process and waits for its end.
    void kill();

    /// Waits at most `seconds` for the process to end. Returns its exit code, or -1 when it still runs or
    /// was ended by a signal.
    int wait(int seconds);

    bool is_running();

    /// Returns the CPU time that the process has used so far, in seconds.
    double cpu_seconds() const;

    /// Returns the largest memory that the process has used so far, in MB; 0 if it has ended.
    long peak_memory_mb() const;

    /// Returns the number of the process's open files; 0 if it has ended.
    std::size_t open_files() const;

private:
    pid_t pid = -1;
    int exit_code = -1;
};

/// Returns the folder of the running program.
std::string program_folder();

} // namespace radishstep::testing
