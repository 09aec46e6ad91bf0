#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace radishstep::testing {

/// A process that a test started. It ends with this object at the latest.
class process
{
public:
    /// Starts `program` (a name in the folder of the running program) with its output in `log_file`.
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

    /// Waits for the process' end, at most `seconds`. Returns its exit code, or -1 when it runs on or
    /// was ended by a signal.
    int wait(int seconds);

    bool is_running();

    /// Returns the processor time that the process has used so far, in seconds.
    double cpu_seconds() const;

private:
    pid_t pid = -1;
    int exit_code = -1;
};

/// Returns the folder of the running program.
std::string program_folder();

} // namespace radishstep::testing
