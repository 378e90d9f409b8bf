fn main() -> std::process::ExitCode {
    cranberrychute::cli::run()
}
