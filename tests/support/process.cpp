#include "process.h"

#include <fcntl.h>
#include <linux/close_range.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

namespace radishstep::testing {

process::process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log_file)
{
    const std::string path = program_folder() + "/" + program;
    std::vector<char*> argv{const_cast<char*>(path.c_str())};
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    this->pid = fork();
    if (this->pid < 0)
        throw std::runtime_error("cannot start " + path);
    if (this->pid > 0)
        return;
    // The kernel kills the child when the test ends, also when the test crashes.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // Sockets of the test that the child inherited would stay open after the test closes or resets them.
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    execv(path.c_str(), argv.data());
    _exit(127);
}

process::~process()
{
    this->kill();
}

process::process(process&& other) noexcept : pid(std::exchange(other.pid, -1)), exit_code(other.exit_code) {}

process& process::operator=(process&& other) noexcept
{
    this->kill();
    this->pid = std::exchange(other.pid, -1);
    this->exit_code = other.exit_code;
    return *this;
}

void process::signal(int number) const
{
    if (this->pid > 0)
        ::kill(this->pid, number);
}

void process::kill()
{
    if (this->pid <= 0)
        return;
    ::kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = -1;
}

int process::wait(int seconds)
{
    constexpr std::chrono::milliseconds poll{10};
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds{seconds};
    while (this->is_running() && std::chrono::steady_clock::now() < give_up_at)
        std::this_thread::sleep_for(poll);
    return this->exit_code;
}

bool process::is_running()
{
    if (this->pid <= 0)
        return false;
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == 0)
        return true;
    this->pid = -1;
    this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return false;
}

long process::peak_memory_mb() const
{
    std::ifstream status{"/proc/" + std::to_string(this->pid) + "/status"};
    std::string word;
    while (status >> word) {
        if (word != "VmHWM:")
            continue;
        constexpr long kb_per_mb = 1'024;
        long kb = 0;
        status >> kb;
        return kb / kb_per_mb;
    }
    return 0;
}

std::size_t process::open_files() const
{
    std::error_code ended;
    const std::filesystem::directory_iterator files{"/proc/" + std::to_string(this->pid) + "/fd", ended};
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

double process::cpu_seconds() const
{
    std::ifstream file{"/proc/" + std::to_string(this->pid) + "/stat"};
    std::string word;
    double ticks = 0;
    constexpr int user_field = 14;
    constexpr int system_field = 15;
    for (int field = 1; field <= system_field && file >> word; ++field) {
        if (field == user_field || field == system_field)
            ticks += std::stod(word);
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::string program_folder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

} // namespace radishstep::testing
